//! Metrics derived from events, so that a new kind of event is counted without more code.

use super::Event;
use crate::operations::Metrics;
use prometheus::HistogramOpts;
use prometheus::HistogramVec;
use prometheus::IntCounterVec;
use prometheus::IntGaugeVec;
use prometheus::Opts;

/// Upper bounds of the buckets for durations of steps, in seconds.
const STEP_BUCKETS_S: [f64; 9] = [0.001, 0.005, 0.02, 0.05, 0.2, 0.5, 2.0, 10.0, 60.0];

/// Metrics of all events of a process.
pub(super) struct EventMetrics {
    events: IntCounterVec,
    steps: HistogramVec,
    loads: IntGaugeVec,
}

impl EventMetrics {
    /// Creates the metrics, all at zero.
    ///
    /// # Panics
    ///
    /// Never in practice: the names are constant and valid.
    pub(super) fn new() -> Self {
        let events = Opts::new(
            "currantbend_events_total",
            "Events of the time line by kind, written or not.",
        );
        let steps = HistogramOpts::new(
            "currantbend_step_seconds",
            "Time that a step took until its event; handed_over is the wait in the owner's queue.",
        );
        let loads = Opts::new(
            "currantbend_backend_load",
            "Requests in flight at an owned backend server when it was last handed one.",
        );
        let steps = HistogramVec::new(steps.buckets(STEP_BUCKETS_S.to_vec()), &["step"]);
        Self {
            events: IntCounterVec::new(events, &["event"]).expect("the name is valid"),
            steps: steps.expect("the name and buckets are valid"),
            loads: IntGaugeVec::new(loads, &["service", "backend"]).expect("the name is valid"),
        }
    }

    /// Registers the metrics with those of the node.
    pub(super) fn register(&self, metrics: &Metrics) {
        metrics.register(Box::new(self.events.clone()));
        metrics.register(Box::new(self.steps.clone()));
        metrics.register(Box::new(self.loads.clone()));
    }

    /// Counts an event and records its duration and backend load, if it has them.
    pub(super) fn record(&self, event: &Event<'_>) {
        let kind = event.kind.as_str();
        self.events.with_label_values(&[kind]).inc();
        if let Some(took) = event.took {
            let step = self.steps.with_label_values(&[kind]);
            step.observe(took.as_secs_f64());
        }
        if let (Some(load), Some(service), Some(backend)) =
            (event.load, event.service, event.backend)
        {
            let gauge = self.loads.with_label_values(&[service, backend]);
            gauge.set(i64::from(load));
        }
    }
}
