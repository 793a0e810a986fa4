//! Tests each decision against the load pattern that it handles.

mod admission;
mod caller_retry;
mod drain;
mod health;
mod placement;
mod relay;
mod retry_budget;
