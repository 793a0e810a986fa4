//! Runs load patterns with currantbend's load decisions in simulated time, and compares policies.
//!
//! Nothing here opens a connection: engines and plain servers are models, nodes receive load information with the same
//! delay as real ones, and the same seed gives the same result. `docs/LOAD.md` describes the load patterns that the
//! decisions handle; the `cb-lab` program prints the results as tables.

pub mod engine;
mod event_queue;
pub mod job;
pub mod pattern;
pub mod plain;
pub mod policy;
pub mod server;
pub mod simulation;
pub mod summary;
