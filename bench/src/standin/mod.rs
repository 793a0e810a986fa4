//! Stand-ins for the platform's log service and host list and for the backend servers, all within one process.

pub mod batch;
pub mod cache;
pub mod engine;
pub mod events;
pub mod faults;
pub mod generate;
pub mod group;
pub mod hosts;
pub mod lagged;
pub mod log;
pub mod orders;
pub mod replica;
pub mod service;
pub mod store;
pub mod streams;
pub mod weights;

#[cfg(test)]
mod tests;
