//! The straight data path: callers' requests go from the node they reach to the backend server itself.
//!
//! What may be placed where is decided in [`crate::decide`], what is believed in [`crate::catalog`]; `docs/PLATFORM.md`
//! tells why no second node carries the bytes.

mod admission_stats;
mod attempt;
mod choice;
mod dialect;
mod events;
mod exchange;
mod handler;
mod headers;
mod loads;
mod metrics;
mod node;
mod pages;
mod pool;
mod refusal;
mod report;
mod settings;
mod stream;
#[cfg(test)]
mod tests;

pub use dialect::Dialect;
pub use dialect::ForwardMetadata;
pub use dialect::RequestMetadata;
pub use dialect::ResponseMetadata;
pub use dialect::ServerLoad;
pub use metrics::SourceMetrics;
pub use node::GatewayNode;
pub use node::Sources;
pub use node::StartError;
pub use settings::GatewaySettings;
