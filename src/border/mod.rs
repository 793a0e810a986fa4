//! Interfaces to the platform and the backend servers: traits, each with an adapter that implements it over HTTP.
//!
//! The real protocols are not known yet; `docs/PROTOCOLS.md` describes the protocols that the adapters use. Message
//! types are generated from `schemas/`.

mod backend;
mod engine;
#[expect(
    clippy::unwrap_used,
    missing_docs,
    reason = "The generator writes these files; schemas/ describes the fields."
)]
pub mod generated;
mod host_list;
mod log;
mod service;

pub use backend::BackendError;
pub use backend::BackendRequest;
pub use backend::BackendResponse;
pub use backend::Backends;
pub use backend::HttpBackends;
pub use engine::Engine;
pub use engine::HttpEngine;
pub use host_list::HostListError;
pub use host_list::HostListSource;
pub use host_list::HttpHostList;
pub use log::AppendError;
pub use log::HttpLog;
pub use log::LogService;
pub use log::ReadError;
pub use service::HttpPlainService;
pub use service::PlainService;

/// Header with the id of a request. A backend server returns it in the response.
pub const REQUEST_ID_HEADER: &str = "x-request-id";
/// Header with the id of a chat.
pub const CHAT_ID_HEADER: &str = "x-chat-id";
/// Header with the priority of a request.
pub const PRIORITY_HEADER: &str = "x-priority";
/// Response header with the load of a backend server in requests.
pub const LOAD_HEADER: &str = "x-engine-load";
/// Header with the idempotency key of a non-idempotent call.
pub const IDEMPOTENCY_KEY_HEADER: &str = "idempotency-key";
/// Response header that a backend server sets if it did not run a request.
pub const NOT_RUN_HEADER: &str = "x-not-run";
