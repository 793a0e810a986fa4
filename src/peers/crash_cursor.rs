//! Which records about crashes have been sent and received on one connection to another gateway.

use super::message::SyncRequest;
use super::message::SyncResponse;
use crate::clock::BootInstant;
use crate::quarantine::Quarantine;
use crate::quarantine::RecordSource;
use crate::quarantine::Records;
use std::time::Duration;
use tokio::sync::watch;

/// Minimum time between two requests, also while there is news.
const MIN_INTERVAL: Duration = Duration::from_millis(25);
/// Sources of the records that are sent to the relay or to the relay of another data centre.
const SENT_SOURCES: [RecordSource; 2] = [RecordSource::Own, RecordSource::Member];

/// Position in the records of both gateways. It begins with the connection, since the gateway at the other end may be
/// another than before.
pub(super) struct CrashCursor {
    next_sent: u64,
    pub(super) next_received: u64,
    changes: watch::Receiver<u64>,
}

impl CrashCursor {
    pub(super) fn new(quarantine: &Quarantine) -> Self {
        Self {
            next_sent: 0,
            next_received: 0,
            changes: quarantine.changes(),
        }
    }

    /// Adds the records to a request that have not been sent on this connection yet.
    pub(super) fn add_records(
        &mut self,
        quarantine: &Quarantine,
        request: &mut SyncRequest,
        now: BootInstant,
    ) {
        self.changes.mark_unchanged();
        let (records, next) = quarantine.records_from(self.next_sent, &SENT_SOURCES, now);
        self.next_sent = next;
        request.crash_records = records.crashes;
        request.sightings = records.sightings;
    }

    /// Takes the records out of a response and applies them.
    pub(super) fn apply(&mut self, quarantine: &Quarantine, response: &mut SyncResponse) {
        let records = Records {
            crashes: std::mem::take(&mut response.crash_records),
            sightings: std::mem::take(&mut response.sightings),
        };
        quarantine.apply(records, RecordSource::Relay, BootInstant::now());
        if response.knows_holds != Some(false) {
            quarantine.set_told();
        }
        self.next_received = response.next_crash_record;
    }

    /// Waits for `interval`, or until there is something to send.
    pub(super) async fn wait(&mut self, interval: Duration) {
        tokio::time::sleep(MIN_INTERVAL).await;
        // The sender lives as long as the connection's task, so waiting for a change does not fail.
        let _ = tokio::time::timeout(interval - MIN_INTERVAL, self.changes.changed()).await;
    }
}
