//! The owner: the single node that makes all decisions that need exact knowledge of one backend server.
//!
//! An owner counts the requests in flight at its backend servers, enforces the load bound, queues requests, sends them
//! on and checks that each answer is complete. See `docs/OWNERSHIP.md`.

mod admission;
mod answer;
mod backend_state;
mod bound;
mod cache_transfer;
mod checked_body;
mod handover;
mod in_flight;
mod owned;
mod poll;
mod queue;
mod settings;
mod spill;
mod streams;
#[cfg(test)]
mod tests;

pub use answer::Answer;
pub use answer::Attempt;
pub(crate) use checked_body::STREAM_END;
pub use handover::Owner;
pub use handover::OwnerParts;
pub use poll::LoadPoller;
pub use settings::Settings;
pub(crate) use streams::STREAMS_PATH;
