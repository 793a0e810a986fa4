//! In-process stand-ins for outside services: the platform's log service, host list and store, and the backend servers.

pub mod answer_link;
pub mod balancer;
pub mod batch;
pub mod cache;
pub mod engine;
pub mod events;
pub mod faults;
pub mod faulty_gateway;
pub mod generate;
pub mod group;
pub mod hosts;
pub mod lagged;
pub mod links;
pub mod log;
pub mod orders;
pub mod peer_relay;
pub mod relay;
pub mod replica;
pub mod replica_process;
pub mod run_log;
pub mod server_process;
pub mod service;
mod stop;
pub mod store;
pub mod store_process;
pub mod streams;
pub mod weights;

#[cfg(test)]
mod tests;
