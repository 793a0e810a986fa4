//! Load decisions as pure functions and state machines: they take the current state and time as arguments, and do no
//! I/O.
//!
//! The head of each file describes the load pattern that the decision handles; the tests beside it replay that
//! pattern. See `docs/LOAD.md`.

mod admission;
mod caller_retry;
mod crash;
mod crash_blame;
mod crash_burst;
mod crash_cause;
mod crash_evidence;
mod drain;
mod failover;
mod hash;
mod health;
mod pace;
mod placement;
mod relay;
mod retry_budget;
mod server_limit;
mod server_path;
mod service_load;
#[cfg(test)]
mod tests;

pub use admission::Admission;
pub use caller_retry::CallerRetryDetector;
pub use caller_retry::RetryAfter;
pub use crash::Crash;
pub use crash::PartId;
pub use crash::Suspect;
pub use crash_blame::CrashBlame;
pub use crash_blame::CrashNews;
pub use crash_blame::Hold;
pub use crash_blame::PartVerdict;
pub use crash_evidence::Incarnation;
pub use crash_evidence::Sight;
pub use crash_evidence::Sighting;
pub use crash_evidence::is_common_loss;
pub use drain::DrainPolicy;
pub use failover::FailoverStep;
pub use failover::FailoverView;
pub use failover::SendState;
pub use failover::failover_step;
pub(crate) use hash::hash;
pub use health::Health;
pub use health::HealthPolicy;
pub use health::RunResult;
pub use pace::PaceKind;
pub use pace::PaceTable;
pub use pace::PaceWindow;
pub use pace::SlowServer;
pub use placement::Choice;
pub use placement::EnginePlacement;
pub use placement::Placement;
pub use placement::PlacementRequest;
pub use placement::PlainPlacement;
pub use placement::PromptPart;
pub use placement::ServerView;
pub use placement::smoothed_load_per_slot;
pub use relay::SourceRole;
pub use relay::SourceScope;
pub use relay::SourceStep;
pub use relay::is_asked_first;
pub use relay::relay_candidates;
pub use relay::relay_order;
pub use relay::source_step;
pub use relay::store_reader;
pub use relay::sync_sources;
pub use retry_budget::RetryBudget;
pub use retry_budget::RetryNeed;
pub use retry_budget::RetryPolicy;
pub use server_limit::FleetRequests;
pub use server_limit::RateWindow;
pub use server_path::HelperView;
pub use server_path::PathState;
pub use server_path::ServerPath;
pub use server_path::helper_order;
pub use server_path::may_carry;
pub use service_load::AdmissionRequest;
pub use service_load::RANK_COUNT;
pub use service_load::ServiceLoad;
pub use service_load::ServiceStats;
