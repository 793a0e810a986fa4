//! Counts what was refused from other nodes and from strangers.

use crate::operations::Metrics;
use prometheus::IntCounter;
use prometheus::IntCounterVec;
use prometheus::Opts;

/// Counters of refusals by reason.
pub(super) struct RefusalCounters {
    /// Connections or frames without the right code.
    pub(super) unauthenticated: IntCounter,
    /// Connections of a process that a later one of its name has replaced.
    pub(super) old_incarnation: IntCounter,
    /// Records of such processes.
    pub(super) old_record: IntCounter,
    /// Frames over the limit.
    pub(super) oversized: IntCounter,
    /// Frames that can't be understood.
    pub(super) malformed: IntCounter,
    /// Connections meant for another node, whose address this one has now.
    pub(super) misdirected: IntCounter,
    /// Attempts that had come before.
    pub(super) replayed: IntCounter,
    /// Records by which a later process has this node's name.
    pub(super) name_taken: IntCounter,
}

impl RefusalCounters {
    /// Makes the counters and registers them.
    ///
    /// # Panics
    ///
    /// Never in practice: the name is constant and valid.
    pub(super) fn new(metrics: &Metrics) -> Self {
        let opts = Opts::new(
            "currantbend_membership_refused_total",
            "Connections, frames and records refused from other nodes, by reason.",
        );
        let counters = IntCounterVec::new(opts, &["reason"]).expect("the name is valid");
        metrics.register(Box::new(counters.clone()));
        let reason = |name: &str| counters.with_label_values(&[name]);
        Self {
            unauthenticated: reason("stranger"),
            old_incarnation: reason("old_incarnation"),
            old_record: reason("old_record"),
            oversized: reason("oversized"),
            malformed: reason("malformed"),
            misdirected: reason("misdirected"),
            replayed: reason("replayed"),
            name_taken: reason("name_taken"),
        }
    }
}
