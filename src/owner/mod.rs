//! The owner's side: everything that must be known exactly about one backend server is decided here.
//!
//! An owner counts what its backend servers have in flight, keeps the load bound, queues what has to wait, hands
//! attempts over and checks that each answer is whole. See `docs/OWNERSHIP.md`.

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
