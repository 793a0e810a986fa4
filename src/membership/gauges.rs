//! Metrics of the view, by which operators see whether the views of nodes differ.

use super::View;
use crate::operations::Metrics;
use crate::routing::rendezvous;
use prometheus::IntGauge;

/// Bits of the digest that are exported. Prometheus stores values as 64-bit floating-point numbers, which can't
/// represent all larger integers exactly.
const DIGEST_BITS: u64 = (1 << 52) - 1;

/// Metrics of the view.
pub(super) struct Gauges {
    live_nodes: IntGauge,
    digest: IntGauge,
}

impl Gauges {
    /// Creates the metrics and registers them.
    ///
    /// # Panics
    ///
    /// Never in practice: the names are constant and valid.
    pub(super) fn new(metrics: &Metrics) -> Self {
        let gauge = |name: &str, help: &str| {
            let gauge = IntGauge::new(name, help).expect("the name is valid");
            metrics.register(Box::new(gauge.clone()));
            gauge
        };
        Self {
            live_nodes: gauge(
                "currantbend_live_nodes",
                "Nodes that are live and can be reached from here, this one among them.",
            ),
            digest: gauge(
                "currantbend_view_digest",
                "Digest of the live nodes' names and incarnations; equal where views agree.",
            ),
        }
    }

    /// Sets the metrics from `view`.
    pub(super) fn update(&self, view: &View) {
        let score =
            |node: &super::Node| rendezvous::score(&node.name, &format!("{}", node.incarnation));
        let digest = view.nodes().iter().fold(0, |digest, n| digest ^ score(n));
        let digest = i64::try_from(digest & DIGEST_BITS).unwrap_or_default();
        self.digest.set(digest);
        self.live_nodes
            .set(i64::try_from(view.nodes().len()).unwrap_or(i64::MAX));
    }
}
