//! Test bench of currantbend: stand-ins for the platform services and the backend servers, a fault proxy, a load
//! generator, and test cases that run against real node processes.

pub mod answer;
pub mod cases;
pub mod day;
pub mod fleet;
pub mod http;
pub mod load;
pub mod proxy;
pub mod query;
pub mod report;
pub mod standin;
pub mod truth;
pub mod wire;
