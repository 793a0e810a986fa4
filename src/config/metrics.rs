//! Prometheus metrics of the configuration.

use super::apply::Verdict;
use super::state::State;
use crate::operations::Metrics;
use prometheus::IntCounterVec;
use prometheus::IntGauge;
use prometheus::Opts;

/// Low bits of the 64-bit short hash that the metric omits: its value is a double, which can't hold 64 bits exactly.
const DROPPED_HASH_BITS: u32 = 16;

/// Metrics of the config stream and of the state in force.
pub(super) struct ConfigMetrics {
    hash: IntGauge,
    stopped: IntGauge,
    records: IntCounterVec,
}

impl ConfigMetrics {
    pub(super) fn new(metrics: &Metrics) -> Self {
        let hash = "First 48 bits of the hash of the configuration in force.";
        let stopped = "1 while a record that this version does not know keeps it from applying.";
        let records = Opts::new(
            "currantbend_config_records_total",
            "Records of the config stream by what came of them.",
        );
        let config_metrics = Self {
            hash: IntGauge::new("currantbend_config_hash", hash).expect("the name is valid"),
            stopped: IntGauge::new("currantbend_config_stopped", stopped)
                .expect("the name is valid"),
            records: IntCounterVec::new(records, &["verdict"]).expect("the name is valid"),
        };
        metrics.register(Box::new(config_metrics.hash.clone()));
        metrics.register(Box::new(config_metrics.stopped.clone()));
        metrics.register(Box::new(config_metrics.records.clone()));
        config_metrics
    }

    pub(super) fn record_verdict(&self, verdict: &Verdict) {
        let verdict = match verdict {
            Verdict::Accepted => "accepted",
            Verdict::Refused(_) => "refused",
            Verdict::Snapshot => "snapshot",
        };
        self.records.with_label_values(&[verdict]).inc();
    }

    pub(super) fn set_hash(&self, state: &State) {
        self.hash
            .set((state.short_hash() >> DROPPED_HASH_BITS) as i64);
    }

    pub(super) fn set_stopped(&self) {
        self.stopped.set(1);
    }
}
