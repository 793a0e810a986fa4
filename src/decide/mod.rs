//! Decisions on load, apart from input and output: state and time come in, a choice goes out.
//!
//! Each file names the load pattern that it answers; its test replays that pattern. See `docs/LOAD.md`.

mod crowd;
mod hash;
mod health;
mod leave;
mod place;
mod reject;
mod relay;
mod retry;
mod returns;
#[cfg(test)]
mod tests;

pub use crowd::Call;
pub use crowd::Crowd;
pub use crowd::RANKS;
pub use crowd::ServiceLog;
pub use health::Health;
pub use health::HealthPolicy;
pub use health::RunResult;
pub use leave::Leave;
pub use place::Choice;
pub use place::EnginePlacement;
pub use place::Placement;
pub use place::PlainPlacement;
pub use place::PromptPart;
pub use place::ServerView;
pub use place::Work;
pub use place::usual_fill;
pub use reject::Admission;
pub use relay::relays;
pub use relay::sources;
pub use retry::RetryBudget;
pub use retry::RetryTerms;
pub use returns::Arrivals;
pub use returns::Returns;
