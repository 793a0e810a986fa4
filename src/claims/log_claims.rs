//! Claims in the platform's log: the first claim of a key runs its call, and nobody ever runs another's claim.

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

/// Time after which a caller whose claim the log did not take may try again.
const RETRY_AFTER: Duration = Duration::from_secs(1);
/// Longest wait at shutdown until the outcomes of calls are in the log.
const CLOSE_LIMIT: Duration = Duration::from_secs(2);
/// Pause between two looks at whether they are.
const CLOSE_PAUSE: Duration = Duration::from_millis(10);

/// Claims of this process.
pub struct Claims {
    core: Arc<Core>,
    tasks: Vec<JoinHandle<()>>,
}

struct Core {
    settings: Settings,
    shards: Vec<Arc<Shard>>,
}

impl Claims {
    /// Starts the claims of the node named `node`; nothing is sent until a call comes.
    pub fn start(
        node: &str,
        settings: &Settings,
        log: Arc<dyn LogService>,
        timeline: Arc<Timeline>,
    ) -> Self {
        let own = Uuid::new_v4();
        let health = Arc::new(LogHealth::default());
        let shard = |number| {
            let (log, timeline) = (Arc::clone(&log), Arc::clone(&timeline));
            let health = Arc::clone(&health);
            Shard::new(number, node, own, settings, log, health, timeline)
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

    /// Gives the handle through which calls are run.
    pub fn handle(&self) -> Arc<dyn AtMostOnce> {
        Arc::clone(&self.core) as Arc<dyn AtMostOnce>
    }

    /// Stops, once the outcomes of calls are in the log or that takes too long.
    pub async fn close(self) {
        let until = Instant::now() + CLOSE_LIMIT;
        let is_settled = || self.core.shards.iter().all(|shard| shard.is_settled());
        while !is_settled() && Instant::now() < until {
            tokio::time::sleep(CLOSE_PAUSE).await;
        }
        self.tasks.iter().for_each(JoinHandle::abort);
    }
}

/// Gives the nodes that may claim `key` by this view, by rendezvous rank for the key's shard.
pub(crate) fn claimers(view: &View, key: IdempotencyKey, shards: u64) -> Vec<&Node> {
    let shard = format!("claims-{}", shard_of(key, shards));
    let mut nodes: Vec<&Node> = view.nodes().iter().collect();
    nodes.sort_by_cached_key(|node| Reverse(rendezvous::score(&shard, &node.name)));
    nodes
}

fn shard_of(key: IdempotencyKey, shards: u64) -> u64 {
    rendezvous::score("claims", &key.to_string()) % shards.max(1)
}

#[async_trait]
impl AtMostOnce for Core {
    async fn run_once(&self, call: Call, run: Arc<dyn Run>) -> Result<Answer, Refusal> {
        let number = shard_of(call.key, self.settings.shards);
        let shard = Arc::clone(&self.shards[number as usize]);
        let settings = self.settings.clone();
        let ended =
            tokio::spawn(async move { claim_and_run(&shard, &settings, call, &*run).await });
        ended
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
    // Between the claim and now the process may have been paused until the log forgot an earlier claim.
    if let Err(refusal) = check_age(call.key, settings) {
        shard.release(call.key, number);
        return Err(refusal);
    }
    let mut held = HeldClaim {
        shard,
        call,
        number,
        is_ended: false,
    };
    match run.run().await {
        Ok(answer) => match StoredOutcome::capture(answer, settings.max_stored_bytes).await {
            Ok((answer, stored)) => {
                held.end(stored);
                Ok(answer)
            }
            Err(refusal) => Err(held.refused(refusal)),
        },
        Err(refusal) => Err(held.refused(refusal)),
    }
}

/// A claim that holds its key; where it is dropped on the way its call may have run.
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

    fn refused(&mut self, refusal: Refusal) -> Refusal {
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

/// Tells a call whose key is another's what is known of that one.
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
