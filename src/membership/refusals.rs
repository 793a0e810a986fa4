//! Counts the connections, frames and records that were refused.

use crate::operations::Metrics;
use prometheus::IntCounter;
use prometheus::IntCounterVec;
use prometheus::Opts;

/// Counters of refused connections, frames and records, by reason.
pub(super) struct RefusalCounters {
    /// Connections, frames or attempts without a valid MAC.
    pub(super) unauthenticated: IntCounter,
    /// Connections from an old process whose node name a later process has taken over.
    pub(super) old_incarnation: IntCounter,
    /// Records of such old processes.
    pub(super) old_record: IntCounter,
    /// Frames over the size limit.
    pub(super) oversized: IntCounter,
    /// Frames that can't be decoded, or whose message has an unsupported version or names another sender.
    pub(super) malformed: IntCounter,
    /// Connections and attempts that were addressed to another node, whose address this node has now, or to a previous
    /// process of this node.
    pub(super) misdirected: IntCounter,
    /// Attempts that were received before.
    pub(super) replayed: IntCounter,
    /// Records of a later process that has this node's name.
    pub(super) name_taken: IntCounter,
}

impl RefusalCounters {
    /// Creates the counters and registers them.
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
