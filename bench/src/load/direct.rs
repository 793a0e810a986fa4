//! Measures the latency that a node adds to a call, compared with a direct call of an engine.

use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use hdrhistogram::Histogram;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::Request;
use serde_json::json;

use super::CALL_TIMEOUT;
use super::LoadOptions;
use super::client::Client;
use super::directory::Directory;

/// Number of call pairs to measure.
const CALL_PAIRS: u32 = 200;
/// Number of failed pairs after which the measurement stops.
const MAX_FAILURES: u32 = 20;
/// Maximum time of the whole measurement.
const MAX_MEASUREMENT_TIME: Duration = Duration::from_secs(10);

/// Median latencies of a small call through a node and directly to an engine.
#[derive(Clone, Copy, Debug)]
pub struct AddedTime {
    /// Median latency through a node, in milliseconds.
    pub through_ms: f64,
    /// Median latency of a direct call to an engine, in milliseconds.
    pub direct_ms: f64,
    /// Number of measured call pairs.
    pub pairs: u32,
}

impl AddedTime {
    /// Returns the latency that a node adds, in milliseconds.
    pub fn added_ms(&self) -> f64 {
        self.through_ms - self.direct_ms
    }
}

/// Sends small new chats alternately through a node and directly to an engine. Returns `None` if no pair of calls
/// succeeded.
pub async fn measure_added_time(
    options: &LoadOptions,
    directory: &Directory,
    engines: &[SocketAddr],
) -> Option<AddedTime> {
    let nodes: Vec<SocketAddr> = directory
        .nodes()
        .iter()
        .filter(|node| node.ready)
        .map(|node| node.address)
        .collect();
    if nodes.is_empty() || engines.is_empty() {
        return None;
    }
    let mut client = Client::new();
    let mut through = Histogram::<u64>::new(3).ok()?;
    let mut direct = Histogram::<u64>::new(3).ok()?;
    let mut pairs = 0;
    let mut failures = 0;
    let until = Instant::now() + MAX_MEASUREMENT_TIME;
    while pairs < CALL_PAIRS && failures < MAX_FAILURES && Instant::now() < until {
        let number = pairs + failures;
        let node = nodes[number as usize % nodes.len()];
        let engine = engines[number as usize % engines.len()];
        let by_node = time_call(&mut client, options, node, &format!("added-node-{number}")).await;
        let by_engine = time_call(
            &mut client,
            options,
            engine,
            &format!("added-direct-{number}"),
        )
        .await;
        match (by_node, by_engine) {
            (Some(by_node), Some(by_engine)) => {
                let _ = through.record(by_node);
                let _ = direct.record(by_engine);
                pairs += 1;
            }
            _ => failures += 1,
        }
    }
    let millis = |histogram: &Histogram<u64>| histogram.value_at_quantile(0.5) as f64 / 1000.0;
    (pairs > 0).then(|| AddedTime {
        through_ms: millis(&through),
        direct_ms: millis(&direct),
        pairs,
    })
}

/// Sends one call and returns its latency in microseconds, or `None` if it failed.
async fn time_call(
    client: &mut Client,
    options: &LoadOptions,
    address: SocketAddr,
    id: &str,
) -> Option<u64> {
    let messages = json!([{"role": "user", "content": id}]);
    let body = json!({"model": options.model, "messages": messages, "max_tokens": 1, "stream": false, "user": id});
    let request = Request::post("/v1/chat/completions")
        .header("authorization", format!("Bearer {}", options.teams[0].key))
        .header("content-type", "application/json")
        .header("x-chat-id", id)
        .header("x-request-id", id)
        .body(Full::new(Bytes::from(body.to_string())))
        .ok()?;
    let started = Instant::now();
    let call = async {
        let answer = client.send(address, request).await.ok()?;
        let ok = answer.status().is_success();
        answer.into_body().collect().await.ok()?;
        ok.then_some(())
    };
    tokio::time::timeout(CALL_TIMEOUT, call).await.ok()??;
    u64::try_from(started.elapsed().as_micros()).ok()
}
