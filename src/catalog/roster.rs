//! The backend servers that may be used, as they report themselves.

use crate::clock::Moment;
use serde::Deserialize;
use serde::Serialize;
use std::net::SocketAddr;
use std::time::Duration;

/// What a backend server says of itself.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct ServerEntry {
    /// Service that it offers.
    pub service: String,
    /// Where it listens.
    pub address: SocketAddr,
    /// Data centre that it stands in.
    pub data_centre: String,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Whether it takes no new work.
    pub is_draining: bool,
    /// How much longer it is slow after its start.
    pub cold_left: Duration,
    /// Counts its reports since its start.
    pub sequence: u64,
    /// Unix time of its start in milliseconds, which tells incarnations of one name apart.
    #[serde(rename = "born_ms")]
    pub start_time_ms: u64,
}

/// One record of the list of servers.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ServerRecord {
    /// A server's report.
    Report(ServerEntry),
    /// The server was taken off the list.
    Removed,
    /// The record can't be used, with the reason.
    Unusable(String),
}

/// A backend server under its name.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct BackendServer {
    /// Name that the list keeps it under.
    pub id: String,
    /// What it says of itself.
    pub entry: ServerEntry,
}

#[derive(Clone, Debug)]
enum Standing {
    Listed,
    /// Taken off the list; used until `until`, where the list itself may have lost it.
    Leaving {
        until: Moment,
    },
    Removed,
    /// The newest record names no server.
    Unusable,
}

#[derive(Clone, Debug)]
struct Row {
    id: String,
    entry: Option<ServerEntry>,
    standing: Standing,
}

/// All servers by name, with what is left of those that went.
#[derive(Clone, Debug, Default)]
pub struct Roster {
    rows: Vec<Row>,
}

/// Rows of gone servers that are kept, so that late copies of their reports are known for what they are.
const GONE_ROWS: usize = 512;

impl Roster {
    /// Takes one record in; `grace_until` is set while the list itself may have lost entries.
    ///
    /// Returns whether anything changed that matters for placing work.
    pub fn apply(&mut self, id: &str, record: ServerRecord, grace_until: Option<Moment>) -> bool {
        match self.rows.binary_search_by(|row| row.id.as_str().cmp(id)) {
            Ok(at) => self.rows[at].update(record, grace_until),
            Err(at) => self.insert(at, id, record),
        }
    }

    fn insert(&mut self, at: usize, id: &str, record: ServerRecord) -> bool {
        let (entry, standing) = match record {
            ServerRecord::Report(entry) => (Some(entry), Standing::Listed),
            // Nothing is known of it, so there is nothing to remember.
            ServerRecord::Removed | ServerRecord::Unusable(_) => return false,
        };
        let row = Row {
            id: id.to_owned(),
            entry,
            standing,
        };
        let is_listed = row.listed().is_some();
        self.rows.insert(at, row);
        is_listed
    }

    /// Treats every listed server that `names` lacks as taken off; `names` is a whole list, sorted.
    pub fn keep_only(&mut self, names: &[String], grace_until: Option<Moment>) -> Vec<String> {
        let mut lost = Vec::new();
        for row in &mut self.rows {
            let is_named = names.binary_search(&row.id).is_ok();
            if !is_named && row.update(ServerRecord::Removed, grace_until) {
                lost.push(row.id.clone());
            }
        }
        lost
    }

    /// Lets go of servers whose time of grace is over; returns their names.
    pub fn expire(&mut self, now: Moment) -> Vec<String> {
        let mut expired = Vec::new();
        for row in &mut self.rows {
            if matches!(row.standing, Standing::Leaving { until } if until <= now) {
                row.standing = Standing::Removed;
                expired.push(row.id.clone());
            }
        }
        let gone = |row: &Row| matches!(row.standing, Standing::Removed);
        let mut surplus = self
            .rows
            .iter()
            .filter(|row| gone(row))
            .count()
            .saturating_sub(GONE_ROWS);
        self.rows.retain(|row| {
            let is_dropped = surplus > 0 && gone(row);
            surplus -= usize::from(is_dropped);
            !is_dropped
        });
        expired
    }

    /// Lists the servers that may get new work and those that are leaving, sorted by name.
    pub fn listed(&self) -> Vec<BackendServer> {
        let server = |row: &Row| {
            let entry = row.listed()?.clone();
            Some(BackendServer {
                id: row.id.clone(),
                entry,
            })
        };
        self.rows.iter().filter_map(server).collect()
    }
}

impl Row {
    /// Takes a record in and tells whether that matters for placing work.
    fn update(&mut self, record: ServerRecord, grace_until: Option<Moment>) -> bool {
        let before = self.listed().cloned();
        match record {
            ServerRecord::Report(entry) => self.report(entry),
            ServerRecord::Removed => self.leave(grace_until),
            ServerRecord::Unusable(_) => {
                if matches!(self.standing, Standing::Listed) {
                    self.standing = Standing::Unusable;
                }
            }
        }
        match (&before, self.listed()) {
            (Some(before), Some(after)) => before.differs(after),
            (before, after) => before.is_some() != after.is_some(),
        }
    }

    /// Gives the entry of a server that may get new work, or that is leaving.
    fn listed(&self) -> Option<&ServerEntry> {
        let is_listed = matches!(self.standing, Standing::Listed | Standing::Leaving { .. });
        self.entry.as_ref().filter(|_| is_listed)
    }

    /// An older report than the newest known one is a late copy and changes nothing.
    fn report(&mut self, entry: ServerEntry) {
        let order = |entry: &ServerEntry| (entry.start_time_ms, entry.sequence);
        if let Some(known) = &self.entry {
            let is_away = matches!(self.standing, Standing::Removed | Standing::Leaving { .. });
            let is_late =
                order(&entry) < order(known) || (is_away && order(&entry) == order(known));
            if is_late {
                return;
            }
        }
        self.standing = Standing::Listed;
        self.entry = Some(entry);
    }

    fn leave(&mut self, grace_until: Option<Moment>) {
        if matches!(self.standing, Standing::Listed | Standing::Unusable) {
            self.standing = match grace_until {
                Some(until) => Standing::Leaving { until },
                None => Standing::Removed,
            };
        }
    }
}

impl ServerEntry {
    /// Tells whether more than the report's number changed.
    fn differs(&self, other: &Self) -> bool {
        let mut other = other.clone();
        other.sequence = self.sequence;
        *self != other
    }
}
