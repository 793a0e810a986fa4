//! Metrics of the gateway; `docs/METRICS.md` tells what to watch.

use crate::decide::ServiceLoad;
use prometheus::Encoder;
use prometheus::GaugeVec;
use prometheus::HistogramOpts;
use prometheus::HistogramVec;
use prometheus::IntCounterVec;
use prometheus::IntGauge;
use prometheus::Opts;
use prometheus::Registry;
use prometheus::TextEncoder;
use prometheus::core::Collector;
use prometheus::process_collector::ProcessCollector;
use std::time::Duration;

/// Upper bounds of latency buckets, in seconds; they include the sheets' latency targets.
const LATENCY_BUCKETS_S: [f64; 10] = [0.01, 0.025, 0.05, 0.1, 0.15, 0.3, 0.4, 0.8, 2.0, 5.0];

/// Counts calls to what feeds the gateway's beliefs, by the kind of call and how it ended.
#[derive(Clone, Debug)]
pub struct SourceMeter(IntCounterVec);

impl Default for SourceMeter {
    fn default() -> Self {
        Self(counters(
            "currantbend_gateway_store_calls_total",
            "Calls to the store by kind and outcome.",
            &["call", "outcome"],
        ))
    }
}

impl SourceMeter {
    /// Notes that a call ended; `outcome` has few values.
    pub fn note(&self, call: &str, outcome: &str) {
        self.0.with_label_values(&[call, outcome]).inc();
    }
}

/// Metrics of one gateway.
pub(super) struct Meters {
    registry: Registry,
    requests: IntCounterVec,
    latency: HistogramVec,
    sends: IntCounterVec,
    repeats: IntCounterVec,
    fill: GaugeVec,
    wait_ms: GaugeVec,
    config_version: IntGauge,
    config_age_ms: IntGauge,
    list_age_ms: IntGauge,
    servers: IntGauge,
    in_flight: IntGauge,
}

impl Meters {
    pub(super) fn new(sources: &SourceMeter) -> Self {
        let meters = Self {
            registry: Registry::new(),
            requests: counters(
                "currantbend_gateway_requests_total",
                "Callers' requests by route, outcome and cause.",
                &["route", "outcome", "cause"],
            ),
            latency: HistogramVec::new(
                HistogramOpts::new(
                    "currantbend_gateway_answer_seconds",
                    "Time to the answer, or to the first event of a stream, by route.",
                )
                .buckets(LATENCY_BUCKETS_S.to_vec()),
                &["route"],
            )
            .expect("the name and buckets are valid"),
            sends: counters(
                "currantbend_gateway_sends_total",
                "Sends to backend servers by service and result.",
                &["service", "result"],
            ),
            repeats: counters(
                "currantbend_gateway_repeats_total",
                "Repeated sends that the budget granted or denied, by service.",
                &["service", "outcome"],
            ),
            fill: gauges(
                "currantbend_gateway_service_fill",
                "Usual load of a service's servers, in multiples of their slots.",
                &["service"],
            ),
            wait_ms: gauges(
                "currantbend_gateway_service_wait_ms",
                "Expected wait for a slot of a service.",
                &["service"],
            ),
            config_version: gauge(
                "currantbend_gateway_config_version",
                "Version of the configuration in force.",
            ),
            config_age_ms: gauge(
                "currantbend_gateway_config_age_ms",
                "Age of the newest proof that the configuration is current; -1 without one.",
            ),
            list_age_ms: gauge(
                "currantbend_gateway_server_list_age_ms",
                "Age of the newest read of the server list; -1 without one.",
            ),
            servers: gauge(
                "currantbend_gateway_servers",
                "Backend servers that may get new work.",
            ),
            in_flight: gauge(
                "currantbend_gateway_requests_in_flight",
                "Callers' requests that have no whole answer yet.",
            ),
        };
        let collectors: [Box<dyn Collector>; 13] = [
            Box::new(meters.requests.clone()),
            Box::new(meters.latency.clone()),
            Box::new(meters.sends.clone()),
            Box::new(meters.repeats.clone()),
            Box::new(meters.fill.clone()),
            Box::new(meters.wait_ms.clone()),
            Box::new(sources.0.clone()),
            Box::new(meters.config_version.clone()),
            Box::new(meters.config_age_ms.clone()),
            Box::new(meters.list_age_ms.clone()),
            Box::new(meters.servers.clone()),
            Box::new(meters.in_flight.clone()),
            Box::new(ProcessCollector::for_self()),
        ];
        for collector in collectors {
            meters
                .registry
                .register(collector)
                .expect("names of collectors are valid and differ");
        }
        meters
    }

    pub(super) fn began(&self) {
        self.in_flight.inc();
    }

    pub(super) fn ended(&self, route: &str, outcome: &str, cause: &str) {
        self.in_flight.dec();
        self.requests
            .with_label_values(&[route, outcome, cause])
            .inc();
    }

    pub(super) fn latency(&self, route: &str, time: Duration) {
        let histogram = self.latency.with_label_values(&[route]);
        histogram.observe(time.as_secs_f64());
    }

    pub(super) fn sent(&self, service: &str, result: &str) {
        self.sends.with_label_values(&[service, result]).inc();
    }

    /// Notes that a repeated send was asked of the budget.
    pub(super) fn repeated(&self, service: &str, is_granted: bool) {
        let outcome = if is_granted { "granted" } else { "denied" };
        self.repeats.with_label_values(&[service, outcome]).inc();
    }

    /// Notes how crowded a service was when a request came for it.
    pub(super) fn crowd(&self, service: &str, crowd: &ServiceLoad) {
        self.fill
            .with_label_values(&[service])
            .set(crowd.load_per_slot);
        let wait_ms = crowd.expected_wait().as_secs_f64() * 1_000.0;
        self.wait_ms.with_label_values(&[service]).set(wait_ms);
    }

    /// Notes what is believed and how old it is.
    pub(super) fn beliefs(
        &self,
        version: u64,
        config_age: Option<Duration>,
        list_age: Option<Duration>,
        servers: usize,
    ) {
        let millis = |age: Option<Duration>| age.map_or(-1, |age| age.as_millis() as i64);
        self.config_version
            .set(i64::try_from(version).unwrap_or(i64::MAX));
        self.config_age_ms.set(millis(config_age));
        self.list_age_ms.set(millis(list_age));
        self.servers.set(servers as i64);
    }

    /// Renders everything in Prometheus text format.
    pub(super) fn render(&self) -> Vec<u8> {
        let mut buf = Vec::new();
        // Encoding into memory can't fail but for a broken invariant of a collector; the page is then short.
        let _ = TextEncoder::new().encode(&self.registry.gather(), &mut buf);
        buf
    }
}

fn counters(name: &str, help: &str, labels: &[&str]) -> IntCounterVec {
    IntCounterVec::new(Opts::new(name, help), labels).expect("the name is valid")
}

fn gauges(name: &str, help: &str, labels: &[&str]) -> GaugeVec {
    GaugeVec::new(Opts::new(name, help), labels).expect("the name is valid")
}

fn gauge(name: &str, help: &str) -> IntGauge {
    IntGauge::new(name, help).expect("the name is valid")
}
