//! Gateways that did not answer when they were told of streams or asked for them.

use super::directory::NodeEntry;
use crate::clock::BootInstant;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

/// Time for which such a gateway is passed over.
const PAUSE: Duration = Duration::from_secs(3);

/// Time within which a question has failed while this node runs.
const MAX_ANSWER_TIME: Duration = Duration::from_millis(1_200);

/// The gateways that did not answer lately. Unlike those that count as unreachable, they may still serve as sources: a gateway of an
/// earlier build refuses records.
#[derive(Default)]
pub(super) struct MuteNodes {
    /// Names with the starts of the processes and the times, sorted by name.
    failed: Mutex<Vec<(String, u64, BootInstant)>>,
}

impl MuteNodes {
    /// Records that `node` has not answered a question that was put at `asked_at`, unless this node stood still meanwhile.
    pub(super) fn record(&self, node: &NodeEntry, asked_at: BootInstant) {
        let now = BootInstant::now();
        if now.since(asked_at) > MAX_ANSWER_TIME {
            return;
        }
        let mut failed = self.lock();
        failed.retain(|(name, _, at)| *name != node.name && now.since(*at) < PAUSE);
        let index = failed.partition_point(|(name, _, _)| *name < node.name);
        failed.insert(index, (node.name.clone(), node.start_time_ms, now));
    }

    /// Returns whether this process of `node` did not answer lately.
    pub(super) fn contains(&self, node: &NodeEntry, now: BootInstant) -> bool {
        let failed = self.lock();
        let index = failed.binary_search_by(|(name, _, _)| name.cmp(&node.name));
        index.is_ok_and(|index| {
            let (_, start_time_ms, at) = &failed[index];
            *start_time_ms == node.start_time_ms && now.since(*at) < PAUSE
        })
    }

    /// Returns those of `nodes` that did not fail to answer lately.
    pub(super) fn without(&self, nodes: &[NodeEntry]) -> Vec<NodeEntry> {
        let now = BootInstant::now();
        let answering = nodes.iter().filter(|node| !self.contains(node, now));
        answering.cloned().collect()
    }

    fn lock(&self) -> MutexGuard<'_, Vec<(String, u64, BootInstant)>> {
        self.failed.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
