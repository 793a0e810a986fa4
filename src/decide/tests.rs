//! Each decision against the load pattern that it answers.

mod admission;
mod health;
mod leave;
mod placement;
mod relay;
mod retry;
mod returns;
