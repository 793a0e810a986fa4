//! Plays load patterns through currantbend's decisions in simulated time, policies side by side.
//!
//! Nothing here opens a connection: engines and plain servers are models, nodes know loads as late as real ones do, and
//! the same seed gives the same play. `docs/LOAD.md` tells what the decisions answer; the `cb-lab` program prints tables.

pub mod engine;
mod event_queue;
pub mod job;
pub mod pattern;
pub mod plain;
pub mod policy;
pub mod server;
pub mod simulation;
pub mod summary;
