//! Each decision against the load pattern that it answers.

mod admission;
mod caller_retry;
mod drain;
mod health;
mod placement;
mod relay;
mod retry_budget;
