//! Shared HTTP code on top of hyper: bodies, clients and servers.

mod body;
mod caller_socket;
mod client;
mod collected;
mod connector;
mod server;
mod timeout;

#[cfg(test)]
mod tests;

pub use body::Body;
pub use body::BodyError;
pub use body::CollectError;
pub use body::collect;
pub use body::empty_body;
pub use body::ends_with_connection;
pub use body::full_body;
pub use client::Client;
pub use client::ClientOptions;
pub use client::SendError;
pub use collected::CollectedSize;
pub use connector::Connection;
pub use connector::Connector;
pub use connector::TcpConnector;
pub use server::DEFAULT_HEAD_TIMEOUT;
pub use server::Handler;
pub use server::Listener;
pub use server::OpenConnections;
pub use server::Protocol;
pub use timeout::timeout_at;

/// Flow-control window of a stream of an HTTP/2 connection, which limits the memory that a slow reader takes up.
const HTTP2_STREAM_WINDOW_BYTES: u32 = 64 * 1024;
/// Flow-control window of an HTTP/2 connection. It is much larger than that of a stream, so that streams with slow
/// readers don't block the others.
const HTTP2_CONNECTION_WINDOW_BYTES: u32 = 32 * 1024 * 1024;
