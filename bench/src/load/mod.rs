//! The load generator: callers that continue their chats after pauses, and callers of plain services.
//!
//! Every response is compared with the expected answer to its request, because the report decides from the callers'
//! view whether the system kept its promises.

pub mod client;
pub mod directory;
pub mod record;

mod attempt;
mod chat;
mod direct;
mod expected;
mod group;
mod payment;
mod plain;

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use rand::SeedableRng;
use rand::rngs::StdRng;
use tokio::task::JoinSet;

pub use self::direct::AddedTime;
pub use self::direct::measure_added_time;
use self::directory::Directory;
pub use self::record::CallKind;
pub use self::record::CallOutcome;
pub use self::record::CallRecord;

/// Maximum time for the head of a response, and again for its body, in one attempt of a call.
pub const CALL_TIMEOUT: Duration = Duration::from_secs(30);
/// Maximum delay before the next attempt. A longer `retry-after` is shortened to it.
pub const MAX_RETRY_AFTER: Duration = Duration::from_secs(1);
/// Maximum number of attempts of a call.
pub const MAX_ATTEMPTS: u32 = 8;
/// Index of the first caller of a surge, above the indexes of all other callers.
const FIRST_SURGE_INDEX: u32 = 100_000;
/// Maximum number of connection attempts in one attempt of a call.
pub const MAX_CONNECT_ATTEMPTS: u32 = 3;

/// A team and the bearer key that its callers use.
#[derive(Clone, Debug)]
pub struct TeamKey {
    /// Name of the team.
    pub team: String,
    /// Bearer key of the team.
    pub key: String,
}

/// Number and behaviour of the callers.
#[derive(Clone, Debug)]
pub struct LoadOptions {
    /// Seed of the callers' random number generators.
    pub seed: u64,
    /// Teams, which are assigned to the callers in rotation.
    pub teams: Vec<TeamKey>,
    /// Model service that chats go to.
    pub model: String,
    /// Plain service that payments and lookups go to.
    pub plain: String,
    /// Number of callers of chats. Each has one call in flight at a time.
    pub chat_callers: u32,
    /// Number of callers of the plain service.
    pub plain_callers: u32,
    /// Number of callers that send each payment through all nodes at the same time.
    pub group_callers: u32,
    /// Number of chats that each caller alternates between.
    pub chats_per_caller: u32,
    /// Number of turns after which a chat is replaced by a new one.
    pub max_turns: u32,
    /// Minimum and maximum number of tokens of an answer.
    pub answer_tokens: (u32, u32),
    /// Maximum pause between two calls of one caller.
    pub max_pause: Duration,
    /// Share of chat calls without streaming, in thousandths.
    pub non_streaming_permille: u32,
    /// Additional callers of chats that start later.
    pub surge: Option<Surge>,
}

/// Additional callers of the first team that all start at the same time.
#[derive(Clone, Copy, Debug)]
pub struct Surge {
    /// Number of additional callers.
    pub callers: u32,
    /// Time from the start of the load to the start of these callers.
    pub after: Duration,
}

impl Default for LoadOptions {
    fn default() -> LoadOptions {
        LoadOptions {
            seed: 1,
            teams: Vec::new(),
            model: String::from("assistant"),
            plain: String::from("payments"),
            chat_callers: 92,
            plain_callers: 4,
            group_callers: 0,
            chats_per_caller: 4,
            max_turns: 12,
            answer_tokens: (8, 32),
            max_pause: Duration::from_millis(50),
            non_streaming_permille: 150,
            surge: None,
        }
    }
}

/// Runs the callers until `until` and returns the records of all their calls, ordered by start time.
///
/// Calls that are in flight at `until` are still completed; [`CALL_TIMEOUT`] limits each of their attempts.
pub async fn run(
    options: &LoadOptions,
    directory: &Arc<Directory>,
    until: Instant,
) -> Vec<CallRecord> {
    let mut callers = JoinSet::new();
    for index in 0..options.chat_callers {
        let caller = chat::ChatCaller::new(
            index,
            options,
            directory.clone(),
            caller_rng(options.seed, index),
        );
        callers.spawn(caller.run(until));
    }
    for index in 0..options.plain_callers {
        let rng = caller_rng(options.seed, options.chat_callers + index);
        let caller = plain::PlainCaller::new(index, options, directory.clone(), rng);
        callers.spawn(caller.run(until));
    }
    for index in 0..options.group_callers {
        let first = options.chat_callers + options.plain_callers;
        let rng = caller_rng(options.seed, first + index);
        let caller = group::GroupCaller::new(index, options, directory.clone(), rng);
        callers.spawn(caller.run(until));
    }
    let surge = options.surge.map_or(0, |surge| surge.callers);
    for index in (0..surge).map(|index| FIRST_SURGE_INDEX + index) {
        let options = LoadOptions {
            teams: options.teams[..1].to_vec(),
            ..options.clone()
        };
        let rng = caller_rng(options.seed, index);
        let caller = chat::ChatCaller::new(index, &options, directory.clone(), rng);
        let after = options.surge.map_or(Duration::ZERO, |surge| surge.after);
        callers.spawn(async move {
            tokio::time::sleep(after).await;
            caller.run(until).await
        });
    }
    let mut records = Vec::new();
    while let Some(joined) = callers.join_next().await {
        records.extend(joined.expect("a caller does not panic"));
    }
    records.sort_by_key(|record| record.started);
    records
}

/// Returns a random number generator for one caller. With a generator shared by all callers, the choices of one would
/// depend on the timing of the others.
fn caller_rng(seed: u64, caller: u32) -> StdRng {
    StdRng::seed_from_u64(seed.wrapping_mul(1_000_003).wrapping_add(u64::from(caller)))
}
