//! A fleet of routers that forwards callers' requests: those of returning chats to model engines, and other calls to
//! plain services.
//!
//! Each module covers one responsibility from end to end; `docs/ARCHITECTURE.md` shows how a request passes through
//! them. A node accepts a caller's request ([`entry`]) and forwards it to the node that owns the chosen backend server
//! ([`hop`], [`owner`]), which sends it to the backend server ([`border`]).

pub mod border;
pub mod catalog;
pub mod claims;
pub mod clock;
pub mod config;
pub mod ctl;
pub mod decide;
pub mod declarations;
pub mod entry;
pub mod gateway;
pub mod hop;
pub mod logs;
pub mod membership;
pub mod net;
pub mod node;
pub mod operations;
pub mod outcome;
pub mod owner;
pub mod peers;
pub mod program;
pub mod quarantine;
pub mod reconcile;
pub mod routing;
pub mod settings;
pub mod timeline;

#[cfg(test)]
mod tests;
