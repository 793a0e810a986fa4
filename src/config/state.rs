//! The configuration that results from applying records in order.

use crate::border::generated::config::ConfigRecord;
use crate::border::generated::config::Object;
use crate::border::generated::config::Service;
use crate::border::generated::config::Team;
use sha2::Digest;
use sha2::Sha256;
use subtle::ConstantTimeEq;

/// Why a record does not change the state.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ApplyError {
    /// The record is not one that this version reads.
    Unreadable(String),
}

/// Configuration at one version.
#[derive(Clone, Debug, Default)]
pub struct State {
    /// Offset of the newest record applied, or nothing before the first.
    pub version: Option<u64>,
    teams: Vec<Team>,
    services: Vec<Service>,
}

impl State {
    /// Applies the record at `offset` and returns the state after it.
    ///
    /// # Errors
    ///
    /// Tells why the record is refused; the state then stays as it is.
    pub fn apply(&self, offset: u64, data: &str) -> Result<Self, ApplyError> {
        let record: ConfigRecord =
            serde_json::from_str(data).map_err(|err| ApplyError::Unreadable(err.to_string()))?;
        let ConfigRecord::Change { put, .. } = record;
        let mut next = self.clone();
        for object in put {
            next.put(object);
        }
        next.version = Some(offset);
        Ok(next)
    }

    fn put(&mut self, object: Object) {
        match object {
            Object::Team { team } => {
                let found = self.teams.binary_search_by(|t| t.name.cmp(&team.name));
                insert(&mut self.teams, found, team);
            }
            Object::Service { service } => {
                let found = self
                    .services
                    .binary_search_by(|s| s.name.cmp(&service.name));
                insert(&mut self.services, found, service);
            }
        }
    }

    /// Finds a service by its name.
    pub fn service(&self, name: &str) -> Option<&Service> {
        let found = self
            .services
            .binary_search_by(|s| s.name.as_str().cmp(name));
        found.ok().map(|i| &self.services[i])
    }

    /// Finds a team by its name.
    pub fn team(&self, name: &str) -> Option<&Team> {
        let found = self.teams.binary_search_by(|t| t.name.as_str().cmp(name));
        found.ok().map(|i| &self.teams[i])
    }

    /// Lists the teams, sorted by name.
    pub fn teams(&self) -> &[Team] {
        &self.teams
    }

    /// Lists the services, sorted by name.
    pub fn services(&self) -> &[Service] {
        &self.services
    }

    /// Finds the team that `key` belongs to; every hash is compared in full, so that time tells nothing.
    pub fn team_of_key(&self, key: &str) -> Option<&Team> {
        let hash = hex(&Sha256::digest(key.as_bytes()));
        let mut found = None;
        for team in &self.teams {
            for known in &team.key_hashes {
                if bool::from(known.as_bytes().ct_eq(hash.as_bytes())) {
                    found = Some(team);
                }
            }
        }
        found
    }
}

fn insert<T>(items: &mut Vec<T>, found: Result<usize, usize>, item: T) {
    match found {
        Ok(i) => items[i] = item,
        Err(i) => items.insert(i, item),
    }
}

/// Writes bytes as lower-case hex digits.
pub fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}
