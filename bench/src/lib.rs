//! Stand-ins for the platform and the backend servers, a fault proxy, a load tool and the cases that measure
//! currantbend with real processes.

pub mod answer;
pub mod cases;
pub mod fleet;
pub mod http;
pub mod load;
pub mod proxy;
pub mod report;
pub mod standin;
pub mod truth;
pub mod wire;
