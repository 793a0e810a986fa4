//! The direct data path: the node that a caller reaches sends the request to the backend server itself.
//!
//! [`crate::decide`] admits requests and chooses servers; [`crate::catalog`] holds the configuration and the server
//! list. `docs/PLATFORM.md` explains why requests do not pass through a second node, `docs/REACHING-SERVERS.md` when their
//! connections do.

mod admission_stats;
mod attempt;
mod candidates;
mod choice;
mod crash_guard;
mod delivery;
mod dialect;
mod end_check;
mod events;
mod exchange;
mod explain;
mod explanation;
mod failover;
mod handler;
mod head_limit;
mod headers;
mod life_sign;
mod loads;
mod loop_watch;
mod metrics;
mod node;
mod pages;
mod path_probe;
mod pool;
mod progress;
mod race;
mod refusal;
mod report;
mod request_identity;
mod response_memory;
mod send_gate;
mod server_evidence;
mod server_paths;
mod server_rates;
mod server_stream;
mod settings;
mod stream;
mod stream_record;
mod stream_version;
mod team_demand;
#[cfg(test)]
mod tests;
mod write_watch;

pub use dialect::Dialect;
pub use dialect::ForwardMetadata;
pub use dialect::RateLimitNotice;
pub use dialect::RequestMetadata;
pub use dialect::ResponseMetadata;
pub use dialect::ResumedStream;
pub use dialect::ServerLoad;
pub use explanation::AdmissionReport;
pub use explanation::ChoiceReport;
pub use explanation::ExplainPart;
pub use explanation::ExplainRequest;
pub use explanation::Explanation;
pub use explanation::Knowledge;
pub use explanation::Obstacle;
pub use explanation::ServerReport;
pub use metrics::SourceMetrics;
pub use node::GatewayNode;
pub use node::Sources;
pub use node::StartError;
pub use pages::EXPLAIN_PATH;
pub use pool::server_connector;
pub use settings::GatewaySettings;
