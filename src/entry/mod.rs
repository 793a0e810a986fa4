//! The entry: where callers' requests arrive and their answers leave.
//!
//! It knows the caller's team, chooses the backend server, sends attempts to its owner and passes the answer on. Every
//! caller gets one of the three outcomes; see `docs/OUTCOMES.md`.

mod attempts;
mod budget;
mod caller;
mod calls;
mod chat;
mod plain;
mod reply;
mod resume;
mod serve;
mod settings;
#[cfg(test)]
mod tests;
mod tracked_body;
mod unresponsive;

pub use attempts::AttemptSender;
pub use calls::CallParts;
pub use calls::Calls;
pub use serve::Entry;
pub use settings::Settings;
