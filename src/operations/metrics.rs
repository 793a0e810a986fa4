//! Metrics in Prometheus format; `docs/METRICS.md` describes the alerts.

use prometheus::Encoder;
use prometheus::Histogram;
use prometheus::HistogramOpts;
use prometheus::IntCounter;
use prometheus::IntCounterVec;
use prometheus::IntGauge;
use prometheus::Opts;
use prometheus::Registry;
use prometheus::TextEncoder;
use prometheus::process_collector::ProcessCollector;
use std::time::Duration;

/// Upper bounds of the buckets of the time to the first byte, in seconds.
const FIRST_BYTE_BUCKETS_S: [f64; 9] = [0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.49, 1.0, 5.0];

/// Kind of control traffic, by its purpose.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ControlKind {
    /// Messages between nodes, except requests and messages of the other kinds.
    Gossip,
    /// Reports of backend servers' loads, between the nodes of a region.
    Load,
    /// Requests to the platform's log.
    Log,
    /// Requests for the platform's host list.
    HostList,
    /// Control requests and orders to backend servers.
    Engine,
    /// Configuration records passed between nodes.
    Config,
}

impl ControlKind {
    fn as_str(self) -> &'static str {
        match self {
            Self::Gossip => "gossip",
            Self::Load => "load",
            Self::Log => "log",
            Self::HostList => "host_list",
            Self::Engine => "engine",
            Self::Config => "config",
        }
    }
}

/// Metrics of one node.
pub struct Metrics {
    registry: Registry,
    requests: IntCounterVec,
    control_bytes: IntCounterVec,
    first_byte: Histogram,
    prompt_tokens: IntCounter,
    cached_tokens: IntCounter,
    in_flight: IntGauge,
    config_version: IntGauge,
}

impl Metrics {
    /// Creates the metrics, with all values at zero.
    ///
    /// # Panics
    ///
    /// Panics if the name of a metric is invalid. This does not happen, as all names are constant and valid.
    pub fn new() -> Self {
        let registry = Registry::new();
        let metrics = Self {
            requests: counter_vec(
                "currantbend_requests_total",
                "Callers' requests by outcome and reason.",
                &["outcome", "reason"],
            ),
            control_bytes: counter_vec(
                "currantbend_control_bytes_total",
                "Bytes of control traffic, both ways, by kind.",
                &["kind"],
            ),
            first_byte: Histogram::with_opts(
                HistogramOpts::new(
                    "currantbend_first_byte_seconds",
                    "Time from a caller's request to the first byte of its answer.",
                )
                .buckets(FIRST_BYTE_BUCKETS_S.to_vec()),
            )
            .expect("the name and buckets are valid"),
            prompt_tokens: counter(
                "currantbend_prompt_tokens_total",
                "Tokens of prompts of answered chats whose answers tell their usage.",
            ),
            cached_tokens: counter(
                "currantbend_cached_prompt_tokens_total",
                "Tokens of the same prompts that the engine had cached.",
            ),
            in_flight: gauge(
                "currantbend_requests_in_flight",
                "Callers' requests that have no whole answer yet.",
            ),
            config_version: gauge(
                "currantbend_config_version",
                "Offset of the newest configuration record in force.",
            ),
            registry,
        };
        metrics.register_all();
        metrics
    }

    fn register_all(&self) {
        self.register(Box::new(self.requests.clone()));
        self.register(Box::new(self.control_bytes.clone()));
        self.register(Box::new(self.first_byte.clone()));
        self.register(Box::new(self.prompt_tokens.clone()));
        self.register(Box::new(self.cached_tokens.clone()));
        self.register(Box::new(self.in_flight.clone()));
        self.register(Box::new(self.config_version.clone()));
        self.register(Box::new(ProcessCollector::for_self()));
    }

    /// Registers a collector of another module.
    ///
    /// # Panics
    ///
    /// Panics if a collector of the same name is already registered.
    pub fn register(&self, collector: Box<dyn prometheus::core::Collector>) {
        self.registry
            .register(collector)
            .expect("names of collectors are valid and differ");
    }

    /// Adds `bytes` to the control traffic of `kind`.
    pub fn add_control_bytes(&self, kind: ControlKind, bytes: usize) {
        let counter = self.control_bytes.with_label_values(&[kind.as_str()]);
        counter.inc_by(bytes as u64);
    }

    /// Records that a caller's request has started.
    pub fn record_request_start(&self) {
        self.in_flight.inc();
    }

    /// Records that a caller's request has ended.
    pub fn record_request_end(&self, outcome: &str, reason: &str) {
        self.in_flight.dec();
        self.requests.with_label_values(&[outcome, reason]).inc();
    }

    /// Returns the number of callers' requests whose response is not complete yet.
    pub fn in_flight(&self) -> i64 {
        self.in_flight.get()
    }

    /// Records the time from a caller's request to the first byte of the response.
    pub fn record_first_byte(&self, time: Duration) {
        self.first_byte.observe(time.as_secs_f64());
    }

    /// Adds the prompt tokens of an answered chat request, and how many of them the engine had cached.
    pub fn record_prompt_tokens(&self, prompt: u64, cached: u64) {
        self.prompt_tokens.inc_by(prompt);
        self.cached_tokens.inc_by(cached);
    }

    /// Sets the version of the configuration in force.
    pub fn set_config_version(&self, version: u64) {
        self.config_version
            .set(i64::try_from(version).unwrap_or(i64::MAX));
    }

    /// Renders all metrics in Prometheus text format.
    pub fn render(&self) -> Vec<u8> {
        let mut buf = Vec::new();
        // Writing to memory can't fail, so encoding fails only if a collector breaks an invariant. The page is then
        // truncated.
        let _ = TextEncoder::new().encode(&self.registry.gather(), &mut buf);
        buf
    }
}

impl Default for Metrics {
    fn default() -> Self {
        Self::new()
    }
}

fn counter_vec(name: &str, help: &str, labels: &[&str]) -> IntCounterVec {
    IntCounterVec::new(Opts::new(name, help), labels).expect("the name is valid")
}

fn counter(name: &str, help: &str) -> IntCounter {
    IntCounter::new(name, help).expect("the name is valid")
}

fn gauge(name: &str, help: &str) -> IntGauge {
    IntGauge::new(name, help).expect("the name is valid")
}
