//! Each decision against the load pattern that it answers.

mod admission;
mod health;
mod leave;
mod place;
mod relay;
mod retry;
mod returns;
