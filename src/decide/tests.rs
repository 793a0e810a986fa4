//! Each decision against the load pattern that it answers.

mod admission;
mod caller_retry;
mod health;
mod leave;
mod placement;
mod relay;
mod retry;
