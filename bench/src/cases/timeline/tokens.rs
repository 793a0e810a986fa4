//! Measures the CPU time per streamed token at the entry, the node that a caller connects to, and at the owner, the
//! node that owns the engine.

use std::sync::atomic::Ordering::Relaxed;
use std::time::Duration;
use std::time::Instant;

use async_trait::async_trait;
use futures_util::future::join_all;

use super::streams::Caller;
use super::streams::StreamCounters;
use crate::cases::Case;
use crate::cases::CaseContext;
use crate::cases::Findings;
use crate::cases::RunOptions;
use crate::fleet::NodeStats;

/// Number of concurrent streams. With 43 ms between tokens they reach the target of 8,600 tokens per second for one
/// node.
const STREAM_COUNT: u32 = 370;
/// Number of tokens of each answer; large, so that the start of a request contributes as little as in a long answer.
const ANSWER_TOKENS: u32 = 256;
/// Time of one token in an empty batch, in milliseconds. The stand-in engine needs more time in a fuller batch.
const TOKEN_MS: u64 = 25;
/// Maximum number of requests that an engine runs at the same time.
const MAX_BATCH: u32 = 64;
/// Time until all streams are running.
const WARM_UP: Duration = Duration::from_secs(2);
/// Microseconds per second.
const MICROS_PER_SECOND: f64 = 1e6;

/// CPU time per token, with separate nodes for the entry and the owner: the callers connect to a node in the data
/// centre without engines.
pub(super) struct Tokens;

#[async_trait]
impl Case for Tokens {
    fn name(&self) -> &'static str {
        "tokens"
    }

    fn description(&self) -> &'static str {
        "processor time of a streamed token at the entry and at the owner"
    }

    fn options(&self, options: &mut RunOptions) {
        options.fleet.nodes = 2;
        options.fleet.backend_data_centres = 1;
        options.fleet.engine.max_batch = MAX_BATCH;
        options.fleet.engine.token_ms = TOKEN_MS;
        options.fleet.floor = MAX_BATCH;
        options.load.chat_callers = 1;
        options.load.plain_callers = 0;
    }

    async fn apply_faults(&self, cx: &CaseContext<'_>) -> Findings {
        let nodes = cx.fleet.directory().nodes();
        let entry = nodes.last().expect("the case has two nodes");
        let counters = StreamCounters::default();
        let callers: Vec<Caller<'_>> = (0..STREAM_COUNT)
            .map(|number| Caller {
                number,
                node: entry.address,
                team: &cx.fleet.teams()[number as usize % cx.fleet.teams().len()],
                model: &cx.fleet.options().model,
                tokens: ANSWER_TOKENS,
                counters: &counters,
            })
            .collect();
        let streams = join_all(callers.iter().map(|caller| caller.run(cx.until)));
        let (_, findings) = tokio::join!(streams, measure(cx, &counters, &entry.name));
        findings
    }
}

async fn measure(cx: &CaseContext<'_>, counters: &StreamCounters, entry: &str) -> Findings {
    cx.pause(WARM_UP).await;
    let (before, events, start_time) = (cx.fleet.stats().await, counters.events(), Instant::now());
    tokio::time::sleep(cx.until.saturating_duration_since(start_time)).await;
    let (after, took) = (cx.fleet.stats().await, start_time.elapsed());
    let tokens = (counters.events() - events) as f64;
    let used = |is_entry: bool| -> f64 {
        let picked = after.iter().filter(|node| (node.name == entry) == is_entry);
        picked.map(|node| cpu_since(&before, node)).sum()
    };
    let mut findings = Findings::default();
    findings.record_figure("tokens_per_s", tokens / took.as_secs_f64());
    findings.record_figure(
        "entry_us_per_token",
        used(true) * MICROS_PER_SECOND / tokens,
    );
    findings.record_figure(
        "owner_us_per_token",
        used(false) * MICROS_PER_SECOND / tokens,
    );
    findings.record_figure("unsent_streams", counters.unsent.load(Relaxed) as f64);
    findings.record_figure("failed_streams", counters.failed.load(Relaxed) as f64);
    findings
}

fn cpu_since(before: &[NodeStats], after: &NodeStats) -> f64 {
    let previous = before.iter().find(|previous| previous.name == after.name);
    after.cpu_seconds - previous.map_or(0.0, |previous| previous.cpu_seconds)
}
