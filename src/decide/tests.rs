//! Each decision against the load pattern that it answers.

mod leave;
mod place;
mod relay;
mod retry;
