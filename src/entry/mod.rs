//! The entry: where callers' requests arrive and their answers leave.
//!
//! It knows the caller's team, chooses the backend server, sends attempts to its owner and passes the answer on. Every
//! caller gets one of the three outcomes; see `docs/OUTCOMES.md`.

mod attempts;
mod budget;
mod caller;
mod chat;
mod plain;
mod reply;
mod resume;
mod serve;
mod settings;
#[cfg(test)]
mod tests;

pub use attempts::Attempts;
pub use serve::Entry;
pub use settings::Settings;
