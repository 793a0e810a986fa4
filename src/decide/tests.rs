//! Each decision against the load pattern that it answers.

mod health;
mod leave;
mod place;
mod reject;
mod relay;
mod retry;
mod returns;
