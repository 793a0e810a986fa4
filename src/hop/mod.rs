//! Sends attempts from the entry to the node that owns the attempt's backend server.
//!
//! If both are the same node, this is a function call. Otherwise it is an HTTP/2 request whose head is encoded as CBOR
//! and authenticated with the deployment's key. See `docs/PROTOCOLS.md`.

mod codec;
mod dispatch;
mod exchange;
pub mod mac;
mod remote;
mod replay;
mod serve;
mod signing;
#[cfg(test)]
mod tests;

pub use dispatch::Dispatch;
pub use dispatch::OwnerDispatch;
pub use exchange::LoadExchange;
pub use exchange::LoadExchangeParts;
pub use remote::RemoteOwner;
pub use serve::ForwardedCallHandler;
pub use serve::PeerServer;

/// Version of the messages between nodes that this program writes.
pub const PROTOCOL_VERSION: u32 = 1;
/// Path of attempts on the peer address.
const HOP_PATH: &str = "/hop";
/// Path of non-idempotent calls on the peer address. They are sent to the node that decides about their key.
const CALL_PATH: &str = "/call";
/// Path of the load exchange on the peer address.
const LOADS_PATH: &str = "/loads";
/// Header with the encoded head of an attempt.
const HEAD_HEADER: &str = "cb-hop";
/// Header with the message authentication code of an attempt's path and other headers, or of the body of a load
/// exchange.
const MAC_HEADER: &str = "cb-mac";
/// Header with the encoded head of a reply.
const REPLY_HEADER: &str = "cb-reply";
