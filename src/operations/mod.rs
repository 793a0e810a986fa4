//! The pages of a node for operators and the platform's load balancer: `/live`, `/ready`, `/status`, `/objects` and
//! `/metrics`.

mod metrics;
mod pages;

pub use metrics::ControlKind;
pub use metrics::Metrics;
pub use pages::Pages;
pub use pages::Readiness;
