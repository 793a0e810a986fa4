//! Claims in the platform's log: the call of a key's first claim runs, and only the process that made a claim runs its
//! call.

use super::Age;
use super::AtMostOnce;
use super::Call;
use super::IdempotencyKey;
use super::Run;
use super::Settings;
use super::key::now_ms;
use super::key_table::KeyStatus;
use super::log_health::LogHealth;
use super::shard::Decision;
use super::shard::Shard;
use super::stored_outcome::StoredOutcome;
use crate::border::LogService;
use crate::membership::Node;
use crate::membership::View;
use crate::outcome::NotRun;
use crate::outcome::Refusal;
use crate::outcome::Unknown;
use crate::owner::Answer;
use crate::routing::rendezvous;
use crate::timeline::Timeline;
use async_trait::async_trait;
use std::cmp::Reverse;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;
use tokio::task::JoinHandle;
use uuid::Uuid;

/// Retry delay for a caller whose claim was not made or not decided.
const RETRY_AFTER: Duration = Duration::from_secs(1);
/// Maximum time that shutdown waits until the outcomes of calls are in the log.
const MAX_CLOSE_WAIT: Duration = Duration::from_secs(2);
/// Interval at which shutdown checks whether the outcomes are in the log.
const CLOSE_POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Claims made by this process.
pub struct Claims {
    core: Arc<Core>,
    tasks: Vec<JoinHandle<()>>,
}

struct Core {
    settings: Settings,
    shards: Vec<Arc<Shard>>,
}

impl Claims {
    /// Starts the tasks of all shards for the node named `node`. Nothing is sent to the log before the first call.
    pub fn start(
        node: &str,
        settings: &Settings,
        log: Arc<dyn LogService>,
        timeline: Arc<Timeline>,
    ) -> Self {
        let own_incarnation = Uuid::new_v4();
        let health = Arc::new(LogHealth::default());
        let shard = |number| {
            let (log, timeline) = (Arc::clone(&log), Arc::clone(&timeline));
            let health = Arc::clone(&health);
            Shard::new(
                number,
                node,
                own_incarnation,
                settings,
                log,
                health,
                timeline,
            )
        };
        let shards: Vec<Arc<Shard>> = (0..settings.shards).map(shard).collect();
        let tasks = shards
            .iter()
            .map(|shard| tokio::spawn(Arc::clone(shard).run()));
        Self {
            tasks: tasks.collect(),
            core: Arc::new(Core {
                settings: settings.clone(),
                shards,
            }),
        }
    }

    /// Returns the handle that runs calls.
    pub fn handle(&self) -> Arc<dyn AtMostOnce> {
        Arc::clone(&self.core) as Arc<dyn AtMostOnce>
    }

    /// Waits until the outcomes of calls are in the log, at most `MAX_CLOSE_WAIT`, then stops the tasks.
    pub async fn close(self) {
        let deadline = Instant::now() + MAX_CLOSE_WAIT;
        let is_settled = || self.core.shards.iter().all(|shard| shard.is_settled());
        while !is_settled() && Instant::now() < deadline {
            tokio::time::sleep(CLOSE_POLL_INTERVAL).await;
        }
        self.tasks.iter().for_each(JoinHandle::abort);
    }
}

/// Returns the nodes that may claim `key`, which are all nodes of `view`, ordered by rendezvous rank for the key's
/// shard.
pub(crate) fn claimers(view: &View, key: IdempotencyKey, shards: u64) -> Vec<&Node> {
    let shard = format!("claims-{}", shard_of(key, shards));
    let mut nodes: Vec<&Node> = view.nodes().iter().collect();
    nodes.sort_by_cached_key(|node| Reverse(rendezvous::score(&shard, &node.name)));
    nodes
}

/// Returns the number of the key's shard.
fn shard_of(key: IdempotencyKey, shards: u64) -> u64 {
    rendezvous::score("claims", &key.to_string()) % shards.max(1)
}

#[async_trait]
impl AtMostOnce for Core {
    async fn run_once(&self, call: Call, run: Arc<dyn Run>) -> Result<Answer, Refusal> {
        let number = shard_of(call.key, self.settings.shards);
        let shard = Arc::clone(&self.shards[number as usize]);
        let settings = self.settings.clone();
        let running =
            tokio::spawn(async move { claim_and_run(&shard, &settings, call, &*run).await });
        running
            .await
            .unwrap_or(Err(Refusal::unknown(Unknown::ConnectionLost)))
    }
}

async fn claim_and_run(
    shard: &Shard,
    settings: &Settings,
    call: Call,
    run: &dyn Run,
) -> Result<Answer, Refusal> {
    check_age(call.key, settings)?;
    let number = match shard.claim(call).await {
        Decision::Won(number) => number,
        Decision::Lost(status) => return retry_result(&status, settings),
        Decision::GivenUp => {
            return Err(Refusal::not_run_until(NotRun::LogUnavailable, RETRY_AFTER));
        }
        Decision::Full => return Err(Refusal::not_run_until(NotRun::QueueFull, RETRY_AFTER)),
    };
    // The process may have been paused after the first check for so long that the log has discarded an earlier claim of
    // the key. Checking the age again prevents a second run.
    if let Err(refusal) = check_age(call.key, settings) {
        shard.release(call.key, number);
        return Err(refusal);
    }
    let mut claim = HeldClaim {
        shard,
        call,
        number,
        is_ended: false,
    };
    match run.run().await {
        Ok(answer) => match StoredOutcome::capture(answer, settings.max_stored_bytes).await {
            Ok((answer, stored)) => {
                claim.end(stored);
                Ok(answer)
            }
            Err(refusal) => Err(claim.end_refused(refusal)),
        },
        Err(refusal) => Err(claim.end_refused(refusal)),
    }
}

/// A claim that holds its key. If it is dropped without an outcome, the call may have run, and the outcome `unknown` is
/// recorded.
struct HeldClaim<'a> {
    shard: &'a Shard,
    call: Call,
    number: u64,
    is_ended: bool,
}

impl HeldClaim<'_> {
    fn end(&mut self, stored: StoredOutcome) {
        self.is_ended = true;
        self.shard.end(self.call.key, self.number, stored);
    }

    /// Records the outcome of a refused call. The claim is released if the call certainly did not run, so that a retry
    /// may run it.
    fn end_refused(&mut self, refusal: Refusal) -> Refusal {
        match refusal {
            Refusal::Unknown { reason } => self.end(StoredOutcome::Unknown(reason)),
            Refusal::NotRun { .. } => {
                self.is_ended = true;
                self.shard.release(self.call.key, self.number);
            }
        }
        refusal
    }
}

impl Drop for HeldClaim<'_> {
    fn drop(&mut self) {
        if !self.is_ended {
            self.end(StoredOutcome::Unknown(Unknown::ConnectionLost));
        }
    }
}

fn check_age(key: IdempotencyKey, settings: &Settings) -> Result<(), Refusal> {
    match key.age(now_ms(), settings.window, settings.skew) {
        Age::Fresh => Ok(()),
        Age::Future => Err(Refusal::not_run(NotRun::KeyFromFuture)),
        Age::Expired => Err(Refusal::unknown(Unknown::Expired)),
    }
}

/// Returns the result for a call whose claim did not get the key.
fn retry_result(status: &KeyStatus, settings: &Settings) -> Result<Answer, Refusal> {
    match status {
        KeyStatus::Reused => Err(Refusal::not_run(NotRun::KeyReused)),
        KeyStatus::Free | KeyStatus::Running => Err(Refusal::unknown(Unknown::KeyRunning)),
        KeyStatus::Held { claimed_at_ms } => {
            let age = Duration::from_millis(now_ms().saturating_sub(*claimed_at_ms));
            Err(Refusal::unknown(match age < settings.lost_after {
                true => Unknown::KeyRunning,
                false => Unknown::ClaimerLost,
            }))
        }
        KeyStatus::Done(stored) => stored.retry_result(),
    }
}
