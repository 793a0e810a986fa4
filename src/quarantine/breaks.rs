//! Finds servers that crashed and were back before anybody could find them gone.

use super::state::Quarantine;
use crate::catalog::BackendServer;
use crate::catalog::Catalog;
use crate::clock::BootInstant;
use crate::decide::Crash;
use crate::decide::Suspect;
use std::sync::Arc;
use std::time::Duration;
use tokio::task::JoinHandle;

/// Time after a break in which the list may tell that the server crashed: it is in the list of all gateways by then.
const MAX_AGE: Duration = Duration::from_secs(3);
/// Interval at which the list is looked at while there are breaks.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Maximum number of breaks; the oldest are forgotten first.
const MAX_BREAKS: usize = 256;

/// A request that broke off at a server whose address accepts connections.
#[derive(Clone, Debug)]
pub(super) struct Break {
    server: BackendServer,
    at: BootInstant,
    suspect: Suspect,
}

/// Breaks whose cause is not known, the oldest first.
#[derive(Clone, Debug, Default)]
pub(super) struct Breaks {
    breaks: Vec<Break>,
}

impl Break {
    /// Returns whether another incarnation now has the server's name, or a later one its address, where an earlier one may still
    /// be listed. `listed` is sorted by name.
    fn is_explained(&self, listed: &[BackendServer]) -> bool {
        let entry = &self.server.entry;
        let same_name = listed.binary_search_by(|other| other.id.cmp(&self.server.id));
        let has_restarted =
            same_name.is_ok_and(|index| listed[index].entry.start_time_ms != entry.start_time_ms);
        let is_replaced = listed.iter().any(|other| {
            other.id != self.server.id
                && other.entry.address == entry.address
                && other.entry.start_time_ms > entry.start_time_ms
        });
        has_restarted || is_replaced
    }
}

impl Breaks {
    pub(super) fn record(&mut self, server: &BackendServer, suspect: Suspect, at: BootInstant) {
        if self.breaks.len() == MAX_BREAKS {
            self.breaks.remove(0);
        }
        self.breaks.push(Break {
            server: server.clone(),
            at,
            suspect,
        });
    }

    /// Forgets the breaks that are too old at `now`. Removes those that `listed` explains, and returns them as crashes.
    pub(super) fn take_crashes(
        &mut self,
        listed: &[BackendServer],
        now: BootInstant,
    ) -> Vec<Crash> {
        self.breaks.retain(|known| now.since(known.at) < MAX_AGE);
        let explained = self
            .breaks
            .extract_if(.., |known| known.is_explained(listed));
        explained
            .map(|known| Crash {
                server: known.server.id,
                start_time_ms: known.server.entry.start_time_ms,
                at: known.at,
                suspects: vec![known.suspect],
            })
            .collect()
    }

    pub(super) fn is_empty(&self) -> bool {
        self.breaks.is_empty()
    }
}

/// Compares the server list with the servers at which requests broke off.
pub struct BreakWatch {
    task: JoinHandle<()>,
}

impl BreakWatch {
    /// Starts to watch the list.
    pub fn start(quarantine: &Arc<Quarantine>, catalog: &Arc<Catalog>) -> Self {
        let quarantine = Arc::clone(quarantine);
        let catalog = Arc::clone(catalog);
        let task = tokio::spawn(watch(quarantine, catalog));
        Self { task }
    }

    /// Stops watching.
    pub fn close(self) {
        self.task.abort();
    }
}

async fn watch(quarantine: Arc<Quarantine>, catalog: Arc<Catalog>) {
    loop {
        tokio::time::sleep(CHECK_INTERVAL).await;
        if !quarantine.has_breaks() {
            continue;
        }
        let (listed, _) = catalog.listed();
        for crash in quarantine.take_broken_crashes(&listed) {
            quarantine.record_crash(crash);
        }
    }
}
