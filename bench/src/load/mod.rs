//! The load tool: callers that return to their chats after pauses, and calls of plain services, each answer checked
//! against what its own request must bring, because the promises are judged by what callers really got.

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

/// Longest time that one attempt of a call may take.
pub const CALL_TIMEOUT: Duration = Duration::from_secs(30);
/// Longest pause that a caller keeps to after a refusal, whatever `retry-after` says.
pub const MAX_RETRY_AFTER: Duration = Duration::from_secs(1);
/// Attempts after which a caller takes a refusal as final.
pub const MAX_ATTEMPTS: u32 = 8;
/// Number of the first caller that comes with a surge, above those of all others.
const FIRST_SURGE_INDEX: u32 = 100_000;
/// Nodes that a caller tries before it gives up on connecting.
pub const MAX_CONNECT_ATTEMPTS: u32 = 3;

/// A team and the bearer key that its callers use.
#[derive(Clone, Debug)]
pub struct TeamKey {
    /// Name of the team.
    pub team: String,
    /// Bearer key of the team.
    pub key: String,
}

/// Says how many callers there are and how they behave.
#[derive(Clone, Debug)]
pub struct LoadOptions {
    /// Seed of all callers' choices.
    pub seed: u64,
    /// Teams that the callers belong to, in turn.
    pub teams: Vec<TeamKey>,
    /// Model service that chats go to.
    pub model: String,
    /// Plain service that payments and lookups go to.
    pub plain: String,
    /// Callers of chats, each with one call at a time.
    pub chat_callers: u32,
    /// Callers of the plain service.
    pub plain_callers: u32,
    /// Callers that send each payment through all nodes at the same time.
    pub group_callers: u32,
    /// Chats that each caller returns to.
    pub chats_per_caller: u32,
    /// Turns after which a chat is forgotten.
    pub max_turns: u32,
    /// Fewest and most tokens of an answer.
    pub answer_tokens: (u32, u32),
    /// Longest pause between two calls of one caller.
    pub max_pause: Duration,
    /// Chats in a thousand that are asked for without streaming.
    pub non_streaming_permille: u32,
    /// Callers of chats that come later.
    pub surge: Option<Surge>,
}

/// Further callers of the first team, who all come at once.
#[derive(Clone, Copy, Debug)]
pub struct Surge {
    /// How many they are.
    pub callers: u32,
    /// Time from the start of the load until they come.
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

/// Runs the callers until `until` and returns the records of all their calls.
///
/// Calls under way at that time are still brought to their end, each within [`CALL_TIMEOUT`].
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

/// Gives each caller an own generator, so that one caller's choices don't hang on another's timing.
fn caller_rng(seed: u64, caller: u32) -> StdRng {
    StdRng::seed_from_u64(seed.wrapping_mul(1_000_003).wrapping_add(u64::from(caller)))
}
