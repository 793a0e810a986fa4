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

/// Bytes that one stream of an HTTP/2 connection may hold back, which bounds what a slow reader costs.
const HTTP2_STREAM_WINDOW_BYTES: u32 = 64 * 1024;
/// Bytes that all streams of an HTTP/2 connection may hold back, so that slow readers don't stop the others.
const HTTP2_CONNECTION_WINDOW_BYTES: u32 = 32 * 1024 * 1024;
