//! What went wrong when, as the play goes on.

use std::sync::Mutex;
use std::time::Instant;

use super::record::TroubleRecord;
use crate::truth::lock;

/// What a trouble strikes.
#[derive(Clone, Debug, Default)]
pub struct Struck {
    /// Numbers of gateways.
    pub gateways: Vec<usize>,
    /// IDs of servers.
    pub servers: Vec<String>,
}

/// The troubles so far.
#[derive(Debug, Default)]
pub struct Journal {
    troubles: Mutex<Vec<TroubleRecord>>,
    /// What can't be played.
    not_played: Mutex<Vec<String>>,
}

impl Journal {
    /// Records that a trouble begins and returns its number.
    pub fn begin(&self, kind: &str, detail: String, is_planned: bool, struck: Struck) -> usize {
        let mut troubles = lock(&self.troubles);
        troubles.push(TroubleRecord {
            kind: kind.to_owned(),
            detail,
            is_planned,
            start: Instant::now(),
            end: None,
            gateways: struck.gateways,
            servers: struck.servers,
        });
        troubles.len() - 1
    }

    /// Records that a trouble has ended.
    pub fn end(&self, number: usize) {
        lock(&self.troubles)[number].end = Some(Instant::now());
    }

    /// Records what a day asks for that can't be played.
    pub fn note_not_played(&self, what: String) {
        lock(&self.not_played).push(what);
    }

    /// Returns the troubles so far.
    pub fn troubles(&self) -> Vec<TroubleRecord> {
        lock(&self.troubles).clone()
    }

    /// Returns what couldn't be played.
    pub fn not_played(&self) -> Vec<String> {
        lock(&self.not_played).clone()
    }
}
