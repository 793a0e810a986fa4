//! The owner's side: everything that must be known exactly about one backend server is decided here.
//!
//! An owner counts what its backend servers have in flight, keeps the load bound, queues what has to wait, hands
//! attempts over and checks that each answer is whole. See `docs/OWNERSHIP.md`.

mod admission;
mod answer;
mod bound;
mod carried;
mod carry;
mod handover;
mod owned;
mod poll;
mod queue;
mod settings;
mod slots;
mod spill;
mod streams;
#[cfg(test)]
mod tests;
mod whole;

pub use answer::Answer;
pub use answer::Attempt;
pub use handover::Owner;
pub use handover::OwnerParts;
pub use poll::LoadPoller;
pub use settings::Settings;
pub(crate) use streams::STREAMS_PATH;
pub(crate) use whole::STREAM_END;
