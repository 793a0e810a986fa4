//! Borders to the platform and the backend servers: traits, and one thin adapter for each.
//!
//! The real protocols are not known yet; `docs/PROTOCOLS.md` tells what the adapters speak. Types that cross a border
//! are generated from `schemas/`.

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

pub use backend::BackendAnswer;
pub use backend::BackendError;
pub use backend::BackendRequest;
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

/// Header that carries a request's id to a backend server and back.
pub const REQUEST_ID_HEADER: &str = "x-request-id";
/// Header that carries a chat's id.
pub const CHAT_ID_HEADER: &str = "x-chat-id";
/// Header that carries a request's priority.
pub const PRIORITY_HEADER: &str = "x-priority";
/// Header by which a backend server tells its load.
pub const LOAD_HEADER: &str = "x-engine-load";
/// Header that carries the key of a non-idempotent call.
pub const IDEMPOTENCY_KEY_HEADER: &str = "idempotency-key";
/// Header by which a backend server says that it did not run a request.
pub const NOT_RUN_HEADER: &str = "x-not-run";
