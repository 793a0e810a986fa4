//! The configuration at one version, with lookups by kind and name.

use super::object::ObjectKind;
use super::object::kind_of;
use super::object::name_of;
use crate::border::generated::config::Backend;
use crate::border::generated::config::Entry;
use crate::border::generated::config::Model;
use crate::border::generated::config::Object;
use crate::border::generated::config::Operator;
use crate::border::generated::config::Seen;
use crate::border::generated::config::Service;
use crate::border::generated::config::Team;
use sha2::Digest;
use sha2::Sha256;
use std::sync::Arc;
use subtle::ConstantTimeEq;

/// Size of a SHA-256 digest in bytes.
const DIGEST_BYTES: usize = 32;

/// An object in force with the digest of its canonical serialization.
#[derive(Debug)]
pub(super) struct StoredEntry {
    pub(super) kind: ObjectKind,
    pub(super) entry: Entry,
    digest: [u8; DIGEST_BYTES],
}

impl StoredEntry {
    pub(super) fn new(entry: Entry) -> Self {
        Self {
            kind: kind_of(&entry.object),
            digest: digest_of(&entry),
            entry,
        }
    }

    fn name(&self) -> &str {
        name_of(&self.entry.object)
    }
}

/// Configuration at one version.
#[derive(Clone, Debug)]
pub struct State {
    /// Offset of the newest record applied, or `None` before the first.
    pub version: Option<u64>,
    /// Objects sorted by kind and name. Versions share unchanged objects, so that a new version does not copy them.
    pub(super) stored: Vec<Arc<StoredEntry>>,
    /// Recently accepted changes, in the order of their offsets; used to detect a change that is appended again.
    pub(super) seen: Vec<Seen>,
    pub(super) hash: [u8; DIGEST_BYTES],
}

impl Default for State {
    fn default() -> Self {
        let mut state = Self {
            version: None,
            stored: Vec::new(),
            seen: Vec::new(),
            hash: [0; DIGEST_BYTES],
        };
        state.rehash();
        state
    }
}

impl State {
    /// Returns the offset of the record to be applied next.
    pub fn next_offset(&self) -> u64 {
        self.version.map_or(0, |version| version + 1)
    }

    /// Returns the SHA-256 over all objects with their versions and over the recently accepted changes, in hex. It is
    /// equal on all nodes at the same version.
    pub fn hash(&self) -> String {
        hex(&self.hash)
    }

    /// Returns the first 64 bits of the hash, for messages and metrics that hold a number only.
    pub fn short_hash(&self) -> u64 {
        let mut bytes = [0; 8];
        bytes.copy_from_slice(&self.hash[..8]);
        u64::from_be_bytes(bytes)
    }

    /// Returns all entries in force, sorted by kind and name.
    pub fn entries(&self) -> impl Iterator<Item = &Entry> {
        self.stored.iter().map(|stored| &stored.entry)
    }

    /// Returns the entry of an object: the object and the change that last set it.
    pub fn entry(&self, kind: ObjectKind, name: &str) -> Option<&Entry> {
        let index = self.find(kind, name).ok()?;
        Some(&self.stored[index].entry)
    }

    /// Returns the index of an object in `stored`, or as an error the index at which it would be inserted.
    pub(super) fn find(&self, kind: ObjectKind, name: &str) -> Result<usize, usize> {
        self.stored
            .binary_search_by(|stored| (stored.kind, stored.name()).cmp(&(kind, name)))
    }

    fn objects_of_kind(&self, kind: ObjectKind) -> impl Iterator<Item = &Object> {
        let start = self.stored.partition_point(|stored| stored.kind < kind);
        let end = self.stored.partition_point(|stored| stored.kind <= kind);
        self.stored[start..end]
            .iter()
            .map(|stored| &stored.entry.object)
    }

    /// Returns the service with this name.
    pub fn service(&self, name: &str) -> Option<&Service> {
        match &self.entry(ObjectKind::Service, name)?.object {
            Object::Service { service } => Some(service),
            _ => None,
        }
    }

    /// Returns the team with this name.
    pub fn team(&self, name: &str) -> Option<&Team> {
        match &self.entry(ObjectKind::Team, name)?.object {
            Object::Team { team } => Some(team),
            _ => None,
        }
    }

    /// Returns the wanted state of the backend server with this name.
    pub fn backend(&self, name: &str) -> Option<&Backend> {
        match &self.entry(ObjectKind::Backend, name)?.object {
            Object::Backend { backend } => Some(backend),
            _ => None,
        }
    }

    /// Returns the model with this name.
    pub fn model(&self, name: &str) -> Option<&Model> {
        match &self.entry(ObjectKind::Model, name)?.object {
            Object::Model { model } => Some(model),
            _ => None,
        }
    }

    /// Returns the teams, sorted by name.
    pub fn teams(&self) -> impl Iterator<Item = &Team> {
        self.objects_of_kind(ObjectKind::Team)
            .filter_map(|object| match object {
                Object::Team { team } => Some(team),
                _ => None,
            })
    }

    /// Returns the services, sorted by name.
    pub fn services(&self) -> impl Iterator<Item = &Service> {
        self.objects_of_kind(ObjectKind::Service)
            .filter_map(|object| match object {
                Object::Service { service } => Some(service),
                _ => None,
            })
    }

    /// Returns the wanted states of the backend servers, sorted by name.
    pub fn backends(&self) -> impl Iterator<Item = &Backend> {
        self.objects_of_kind(ObjectKind::Backend)
            .filter_map(|object| match object {
                Object::Backend { backend } => Some(backend),
                _ => None,
            })
    }

    /// Returns the operators, sorted by name.
    pub fn operators(&self) -> impl Iterator<Item = &Operator> {
        self.objects_of_kind(ObjectKind::Operator)
            .filter_map(|object| match object {
                Object::Operator { operator } => Some(operator),
                _ => None,
            })
    }

    /// Returns the team that `key` belongs to. Compares the key's hash with every known hash in constant time, so that
    /// the response time reveals nothing about the known hashes.
    pub fn team_of_key(&self, key: &str) -> Option<&Team> {
        let hash = hex(&Sha256::digest(key.as_bytes()));
        let mut found = None;
        for team in self.teams() {
            for known in &team.key_hashes {
                if bool::from(known.as_bytes().ct_eq(hash.as_bytes())) {
                    found = Some(team);
                }
            }
        }
        found
    }

    /// Recomputes the hash. Must be called after `stored` or `seen` has changed.
    pub(super) fn rehash(&mut self) {
        let mut hasher = Sha256::new();
        for stored in &self.stored {
            hasher.update(stored.digest);
        }
        for seen in &self.seen {
            hasher.update(seen.offset.to_be_bytes());
            update_with_length(&mut hasher, seen.id.as_bytes());
        }
        self.hash = hasher.finalize().into();
    }
}

fn digest_of(entry: &Entry) -> [u8; DIGEST_BYTES] {
    let mut hasher = Sha256::new();
    hasher.update(entry.version.to_be_bytes());
    update_with_length(&mut hasher, entry.change.as_bytes());
    update_with_length(&mut hasher, entry.operator.as_bytes());
    // Fields are serialized in the order of their declaration, so that equal objects have equal bytes.
    let object = serde_json::to_vec(&entry.object).expect("objects have text keys only");
    update_with_length(&mut hasher, &object);
    hasher.finalize().into()
}

/// Hashes the length of `bytes` and then `bytes`, so that different sequences of fields never yield the same input.
fn update_with_length(hasher: &mut Sha256, bytes: &[u8]) {
    hasher.update((bytes.len() as u64).to_be_bytes());
    hasher.update(bytes);
}

/// Returns `bytes` as lower-case hex digits.
pub fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

/// Parses hex digits; returns `None` if `text` is not valid hex.
pub(super) fn unhex(text: &str) -> Option<Vec<u8>> {
    let digits = text.as_bytes();
    if !digits.len().is_multiple_of(2) {
        return None;
    }
    let pair = |pair: &[u8]| {
        let text = std::str::from_utf8(pair).ok()?;
        u8::from_str_radix(text, 16).ok()
    };
    digits.chunks_exact(2).map(pair).collect()
}
