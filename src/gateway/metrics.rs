//! Metrics of the gateway; `docs/METRICS.md` explains which to watch.

use crate::decide::ServiceLoad;
use crate::peers::ServiceTeams;
use prometheus::Encoder;
use prometheus::GaugeVec;
use prometheus::HistogramOpts;
use prometheus::HistogramVec;
use prometheus::IntCounter;
use prometheus::IntCounterVec;
use prometheus::IntGauge;
use prometheus::Opts;
use prometheus::Registry;
use prometheus::TextEncoder;
use prometheus::core::Collector;
use prometheus::process_collector::ProcessCollector;
use std::time::Duration;

/// Upper bounds of the latency buckets in seconds; they include the latency targets of the reference workload.
const LATENCY_BUCKETS_S: [f64; 10] = [0.01, 0.025, 0.05, 0.1, 0.15, 0.3, 0.4, 0.8, 2.0, 5.0];

/// Counts the calls to the store from which the catalog state is read, by kind and outcome.
#[derive(Clone, Debug)]
pub struct SourceMetrics(IntCounterVec);

impl Default for SourceMetrics {
    fn default() -> Self {
        Self(counters(
            "currantbend_gateway_store_calls_total",
            "Calls to the store by kind and outcome.",
            &["call", "outcome"],
        ))
    }
}

impl SourceMetrics {
    /// Records that a call ended; `outcome` is a metric label and must have few distinct values.
    pub fn record_call(&self, call: &str, outcome: &str) {
        self.0.with_label_values(&[call, outcome]).inc();
    }
}

/// Metrics of one gateway.
pub(super) struct GatewayMetrics {
    registry: Registry,
    requests: IntCounterVec,
    requests_read: IntCounter,
    latency: HistogramVec,
    sends: IntCounterVec,
    retries: IntCounterVec,
    load_per_slot: GaugeVec,
    wait_ms: GaugeVec,
    config_version: IntGauge,
    config_age_ms: IntGauge,
    list_age_ms: IntGauge,
    servers: IntGauge,
    in_flight: IntGauge,
    longest_pause_ms: IntGauge,
    unusable_servers: IntGauge,
    held_parts: IntGauge,
    limited_servers: IntGauge,
    blocked_servers: IntGauge,
    tunnels: IntGauge,
    carried_tunnels: IntGauge,
    tunnel_requests: IntCounterVec,
    unframed_ends: IntCounterVec,
    cold_servers: IntGauge,
    cold_sends: IntGauge,
    stopped_sends: IntGauge,
    evacuated_centres: IntGauge,
    team_share: GaugeVec,
}

impl GatewayMetrics {
    pub(super) fn new(sources: &SourceMetrics) -> Self {
        let metrics = Self {
            registry: Registry::new(),
            requests: counters(
                "currantbend_gateway_requests_total",
                "Callers' requests by route, outcome and cause.",
                &["route", "outcome", "cause"],
            ),
            requests_read: IntCounter::new(
                "currantbend_gateway_requests_read_total",
                "Callers' requests that were read with their whole body.",
            )
            .expect("the name is valid"),
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
            retries: counters(
                "currantbend_gateway_repeats_total",
                "Repeated sends that the budget granted or denied, by service.",
                &["service", "outcome"],
            ),
            load_per_slot: gauges(
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
            longest_pause_ms: gauge(
                "currantbend_gateway_longest_pause_ms",
                "Longest time since the start for which the event loop stood still.",
            ),
            unusable_servers: gauge(
                "currantbend_gateway_unusable_server_entries",
                "Entries of the server list that can't be used.",
            ),
            held_parts: gauge(
                "currantbend_gateway_held_parts",
                "Prompt parts whose requests are held back.",
            ),
            blocked_servers: gauge(
                "currantbend_gateway_blocked_servers",
                "Backend servers that only other gateways reach.",
            ),
            tunnels: gauge(
                "currantbend_gateway_tunnels",
                "Connections to backend servers through other gateways.",
            ),
            carried_tunnels: gauge(
                "currantbend_gateway_carried_tunnels",
                "Connections to backend servers that are carried for other gateways.",
            ),
            tunnel_requests: counters(
                "currantbend_gateway_tunnel_requests_total",
                "Requests to other gateways for a connection to a backend server, by result.",
                &["result"],
            ),
            unframed_ends: counters(
                "currantbend_gateway_unframed_ends_total",
                "Answers that ended with their connections, by what their servers' addresses told of them afterwards.",
                &["sign"],
            ),
            limited_servers: gauge(
                "currantbend_gateway_limited_servers",
                "Backend servers that name a limit on requests.",
            ),
            cold_servers: gauge(
                "currantbend_gateway_cold_servers",
                "Backend servers that are or may be cold.",
            ),
            cold_sends: gauge(
                "currantbend_gateway_cold_sends",
                "Requests sent to cold backend servers since the start.",
            ),
            stopped_sends: gauge(
                "currantbend_gateway_stopped_sends",
                "Sends since the start that were stopped before they were written, as their server had become cold or was evacuated.",
            ),
            team_share: gauges(
                "currantbend_gateway_heavy_team_share",
                "Part of a service's requests that a team with more than a fair share has.",
                &["service", "team"],
            ),
            evacuated_centres: gauge(
                "currantbend_gateway_evacuated_centres",
                "Data centres whose backend servers get no new requests at an operator's request.",
            ),
        };
        let collectors: [Box<dyn Collector>; 28] = [
            Box::new(metrics.requests.clone()),
            Box::new(metrics.requests_read.clone()),
            Box::new(metrics.latency.clone()),
            Box::new(metrics.sends.clone()),
            Box::new(metrics.retries.clone()),
            Box::new(metrics.load_per_slot.clone()),
            Box::new(metrics.wait_ms.clone()),
            Box::new(sources.0.clone()),
            Box::new(metrics.config_version.clone()),
            Box::new(metrics.config_age_ms.clone()),
            Box::new(metrics.list_age_ms.clone()),
            Box::new(metrics.servers.clone()),
            Box::new(metrics.in_flight.clone()),
            Box::new(metrics.longest_pause_ms.clone()),
            Box::new(metrics.unusable_servers.clone()),
            Box::new(metrics.held_parts.clone()),
            Box::new(metrics.limited_servers.clone()),
            Box::new(metrics.blocked_servers.clone()),
            Box::new(metrics.tunnels.clone()),
            Box::new(metrics.carried_tunnels.clone()),
            Box::new(metrics.tunnel_requests.clone()),
            Box::new(metrics.unframed_ends.clone()),
            Box::new(metrics.cold_servers.clone()),
            Box::new(metrics.cold_sends.clone()),
            Box::new(metrics.stopped_sends.clone()),
            Box::new(metrics.evacuated_centres.clone()),
            Box::new(metrics.team_share.clone()),
            Box::new(ProcessCollector::for_self()),
        ];
        for collector in collectors {
            metrics
                .registry
                .register(collector)
                .expect("names of collectors are valid and differ");
        }
        metrics
    }

    pub(super) fn record_start(&self) {
        self.in_flight.inc();
    }

    pub(super) fn record_read(&self) {
        self.requests_read.inc();
    }

    pub(super) fn record_end(&self, route: &str, outcome: &str, cause: &str) {
        self.in_flight.dec();
        self.requests
            .with_label_values(&[route, outcome, cause])
            .inc();
    }

    pub(super) fn record_latency(&self, route: &str, time: Duration) {
        let histogram = self.latency.with_label_values(&[route]);
        histogram.observe(time.as_secs_f64());
    }

    pub(super) fn record_send(&self, service: &str, result: &str) {
        self.sends.with_label_values(&[service, result]).inc();
    }

    /// Records whether the retry budget granted a retry.
    pub(super) fn record_retry(&self, service: &str, is_granted: bool) {
        let outcome = if is_granted { "granted" } else { "denied" };
        self.retries.with_label_values(&[service, outcome]).inc();
    }

    /// Records the load of a service when a request for it arrived.
    pub(super) fn record_service_load(&self, service: &str, load: &ServiceLoad) {
        self.load_per_slot
            .with_label_values(&[service])
            .set(load.load_per_slot);
        let wait_ms = load.expected_wait().as_secs_f64() * 1_000.0;
        self.wait_ms.with_label_values(&[service]).set(wait_ms);
    }

    /// Records the catalog state: configuration version, numbers of servers and of entries that can't be used, and the ages of
    /// both (-1 for `None`).
    pub(super) fn record_catalog(
        &self,
        version: u64,
        config_age: Option<Duration>,
        list_age: Option<Duration>,
        (servers, unusable): (usize, usize),
    ) {
        let millis = |age: Option<Duration>| age.map_or(-1, |age| age.as_millis() as i64);
        self.config_version
            .set(i64::try_from(version).unwrap_or(i64::MAX));
        self.config_age_ms.set(millis(config_age));
        self.list_age_ms.set(millis(list_age));
        self.servers.set(servers as i64);
        self.unusable_servers.set(unusable as i64);
    }

    /// Records a time for which the event loop stood still.
    pub(super) fn record_pause(&self, pause: Duration) {
        let pause_ms = i64::try_from(pause.as_millis()).unwrap_or(i64::MAX);
        self.longest_pause_ms
            .set(self.longest_pause_ms.get().max(pause_ms));
    }

    pub(super) fn record_held_parts(&self, count: usize) {
        self.held_parts
            .set(i64::try_from(count).unwrap_or(i64::MAX));
    }

    /// Records the number of servers that only other gateways reach, and of tunnels through others and for others.
    pub(super) fn record_paths(&self, blocked: usize, (open, carried): (u32, u32)) {
        self.blocked_servers
            .set(i64::try_from(blocked).unwrap_or(i64::MAX));
        self.tunnels.set(open.into());
        self.carried_tunnels.set(carried.into());
    }

    /// Records that another gateway was asked for a tunnel; `result` is `opened` or the label of the error.
    pub(super) fn record_tunnel_request(&self, result: &str) {
        self.tunnel_requests.with_label_values(&[result]).inc();
    }

    /// Records the end of an answer without length or chunks; `sign` is what was learnt of its server then.
    pub(super) fn record_unframed_end(&self, sign: &str) {
        self.unframed_ends.with_label_values(&[sign]).inc();
    }

    pub(super) fn record_limited_servers(&self, count: usize) {
        self.limited_servers
            .set(i64::try_from(count).unwrap_or(i64::MAX));
    }

    /// Records the numbers of cold servers, of requests sent to such servers and of sends that were stopped, and of evacuated data
    /// centres.
    pub(super) fn record_gate(&self, cold: usize, (sent, stopped): (u64, u64), evacuated: usize) {
        let count = |number: u64| i64::try_from(number).unwrap_or(i64::MAX);
        self.cold_servers.set(count(cold as u64));
        self.cold_sends.set(count(sent));
        self.stopped_sends.set(count(stopped));
        self.evacuated_centres.set(count(evacuated as u64));
    }

    /// Records the teams with more than a fair share of a service.
    pub(super) fn record_heavy_teams(&self, services: &[ServiceTeams]) {
        self.team_share.reset();
        for service in services {
            for heavy in &service.teams {
                self.team_share
                    .with_label_values(&[&service.service, &heavy.team])
                    .set(heavy.share);
            }
        }
    }

    /// Renders everything in Prometheus text format.
    pub(super) fn render(&self) -> Vec<u8> {
        let mut buf = Vec::new();
        // Encoding into memory fails only if a collector breaks an invariant; the page is then incomplete.
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
