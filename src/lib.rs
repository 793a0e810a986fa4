//! A router fleet that carries returning chats from callers to model engines and plain services.
//!
//! The library is cut into vertical slices by duty; `docs/ARCHITECTURE.md` shows how a request passes through them.
//! A caller's request enters a node ([`entry`]), goes to the node that owns the chosen backend server ([`hop`],
//! [`owner`]) and from there to the backend server ([`border`]).

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
pub mod reconcile;
pub mod routing;
pub mod settings;
pub mod timeline;

#[cfg(test)]
mod tests;
