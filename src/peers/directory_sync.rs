//! Keeps the node list and the directory in step: reads the directory, and writes changes to it.

use super::directory::NodeDirectory;
use super::node::Shared;
use crate::catalog::AdaptiveTimeout;
use crate::clock::BootInstant;
use crate::decide::is_asked_first;
use slog::info;
use slog::warn;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::Instant;

/// Maximum time between two reads of the node list from the directory by a relay.
const NODE_LIST_INTERVAL: Duration = Duration::from_secs(6);
/// Timeout for a call to the directory, which is kept in the store; the initial one for its reads.
pub(super) const DIRECTORY_TIMEOUT: Duration = Duration::from_millis(400);
/// Maximum pause after a failed call to the directory, and maximum time after which a node that is not the relay checks
/// again whether it has become the relay.
const MAX_DIRECTORY_PAUSE: Duration = Duration::from_millis(800);

/// Reads the list once after `start_delay` and then only while this node is the relay, since others receive it from their
/// relay; and writes this node's changes to the directory. One task does both, so that a read never misses an earlier write.
pub(super) async fn run(
    shared: Arc<Shared>,
    directory: Arc<dyn NodeDirectory>,
    start_delay: Duration,
) {
    let mut reader = DirectoryReader {
        shared: &shared,
        directory: &*directory,
        timeout: AdaptiveTimeout::new(DIRECTORY_TIMEOUT),
        has_list: false,
        is_unreachable: false,
    };
    let mut next_read = Instant::now() + start_delay;
    loop {
        tokio::select! {
            () = shared.nodes.registrations().due() => {
                if write_changes(&shared, &*directory).await {
                    // Nodes that start together find no one in their first reads, but the last of them finds the others
                    // after it has registered.
                    next_read = Instant::now();
                }
            }
            () = tokio::time::sleep_until(next_read) => {
                let pause = reader.read_if_needed().await;
                next_read = Instant::now() + shortened(pause);
            }
        }
        if shared.nodes.has_lost_own() {
            shared.nodes.register_own();
        }
    }
}

struct DirectoryReader<'a> {
    shared: &'a Shared,
    directory: &'a dyn NodeDirectory,
    timeout: AdaptiveTimeout,
    has_list: bool,
    is_unreachable: bool,
}

impl DirectoryReader<'_> {
    /// Reads the list if this node is the relay or has none yet; returns the maximum time until the next call.
    async fn read_if_needed(&mut self) -> Duration {
        let shared = self.shared;
        if self.has_list && !shared.duties.is_relay() {
            return MAX_DIRECTORY_PAUSE;
        }
        let result = self.directory.read(self.timeout.current()).await;
        let pause = match self.timeout.record_result(result) {
            Ok(read) => {
                let own = &shared.own;
                if !self.has_list && is_asked_first(&read.entries, &own.data_centre, &own.name) {
                    shared.duties.set_asked_first();
                }
                if read.is_partial {
                    shared.nodes.apply_partial(read.entries);
                } else {
                    shared.nodes.apply(read.entries);
                }
                self.has_list = true;
                if self.is_unreachable {
                    info!(shared.logs.log(), "dependency regained"; "dependency" => "node list");
                    self.is_unreachable = false;
                }
                NODE_LIST_INTERVAL
            }
            Err(err) => {
                if !self.is_unreachable {
                    warn!(shared.logs.log(), "dependency lost"; "dependency" => "node list", "cause" => %err);
                    self.is_unreachable = true;
                }
                MAX_DIRECTORY_PAUSE
            }
        };
        shared.has_asked_directory.send_replace(true);
        pause
    }
}

/// Writes the pending changes; returns whether this node's own entry was written.
async fn write_changes(shared: &Shared, directory: &dyn NodeDirectory) -> bool {
    let changes = shared.nodes.registrations().pending();
    match directory.write(&changes, DIRECTORY_TIMEOUT).await {
        Ok(()) => {
            shared.nodes.record_written(&changes);
            changes
                .iter()
                .any(|change| change.name() == shared.own.name)
        }
        Err(err) => {
            warn!(shared.logs.log(), "node list could not be changed"; "changes" => changes.len(), "cause" => %err);
            let pause = shortened(MAX_DIRECTORY_PAUSE);
            let registrations = shared.nodes.registrations();
            registrations.record_failure(pause, BootInstant::now());
            false
        }
    }
}

/// Returns 70 to 100 % of `time`, chosen at random, so that nodes that started together don't call the store together.
fn shortened(time: Duration) -> Duration {
    time.mul_f64(rand::random_range(0.7..1.0))
}
