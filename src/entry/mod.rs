//! The entry: receives callers' requests and returns the answers.
//!
//! It identifies the caller's team, chooses the backend server, sends attempts to that server's owner and streams the
//! answer back. Every request ends with one of three outcomes; see `docs/OUTCOMES.md`.

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
