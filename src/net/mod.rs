//! Plumbing that all slices share: bodies, clients and servers over hyper.

mod body;
mod client;
mod server;

pub use body::Body;
pub use body::BodyError;
pub use body::CollectError;
pub use body::collect;
pub use body::empty_body;
pub use body::full_body;
pub use client::Client;
pub use client::ClientOptions;
pub use client::SendError;
pub use server::Handler;
pub use server::Listener;
pub use server::Protocol;
