//! Metrics in Prometheus format; `docs/METRICS.md` tells what to alert on.

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

/// Upper bounds of the first-byte buckets, in seconds.
const FIRST_BYTE_BUCKETS_S: [f64; 9] = [0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.49, 1.0, 5.0];

/// What control traffic is for.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ControlKind {
    /// Messages between nodes other than requests.
    Gossip,
    /// Loads of backend servers, between nodes of a region.
    Load,
    /// The platform's log.
    Log,
    /// The platform's host list.
    HostList,
    /// Questions and orders to backend servers.
    Engine,
    /// Configuration passed between nodes.
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
    /// Makes the metrics, all at zero.
    ///
    /// # Panics
    ///
    /// Never in practice: the names are constant and valid.
    pub fn new() -> Self {
        let registry = Registry::new();
        let metrics = Self {
            requests: counters(
                "currantbend_requests_total",
                "Callers' requests by outcome and reason.",
                &["outcome", "reason"],
            ),
            control_bytes: counters(
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

    /// Adds a slice's own collector.
    ///
    /// # Panics
    ///
    /// Panics where two collectors have the same name.
    pub fn register(&self, collector: Box<dyn prometheus::core::Collector>) {
        self.registry
            .register(collector)
            .expect("names of collectors are valid and differ");
    }

    /// Counts bytes of control traffic.
    pub fn control_bytes(&self, kind: ControlKind, bytes: usize) {
        let counter = self.control_bytes.with_label_values(&[kind.as_str()]);
        counter.inc_by(bytes as u64);
    }

    /// Counts a request that has begun.
    pub fn request_began(&self) {
        self.in_flight.inc();
    }

    /// Counts a request that has ended.
    pub fn request_ended(&self, outcome: &str, reason: &str) {
        self.in_flight.dec();
        self.requests.with_label_values(&[outcome, reason]).inc();
    }

    /// Gives the number of requests that have no whole answer yet.
    pub fn in_flight(&self) -> i64 {
        self.in_flight.get()
    }

    /// Notes the time to the first byte of an answer.
    pub fn first_byte(&self, time: Duration) {
        self.first_byte.observe(time.as_secs_f64());
    }

    /// Counts the tokens of an answered chat's prompt and those of them that were cached.
    pub fn cache_use(&self, prompt: u64, cached: u64) {
        self.prompt_tokens.inc_by(prompt);
        self.cached_tokens.inc_by(cached);
    }

    /// Notes the configuration version in force.
    pub fn config_version(&self, version: u64) {
        self.config_version
            .set(i64::try_from(version).unwrap_or(i64::MAX));
    }

    /// Renders everything in Prometheus text format.
    pub fn render(&self) -> Vec<u8> {
        let mut buf = Vec::new();
        // Encoding into memory can't fail but for a broken invariant of a collector; the page is then short.
        let _ = TextEncoder::new().encode(&self.registry.gather(), &mut buf);
        buf
    }
}

impl Default for Metrics {
    fn default() -> Self {
        Self::new()
    }
}

fn counters(name: &str, help: &str, labels: &[&str]) -> IntCounterVec {
    IntCounterVec::new(Opts::new(name, help), labels).expect("the name is valid")
}

fn counter(name: &str, help: &str) -> IntCounter {
    IntCounter::new(name, help).expect("the name is valid")
}

fn gauge(name: &str, help: &str) -> IntGauge {
    IntGauge::new(name, help).expect("the name is valid")
}
