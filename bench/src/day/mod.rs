//! Plays of whole days in real time: the gateways, servers, store and balancer of a sheet as processes of this machine, its callers,
//! and the troubles of a day file.

pub mod callers;
pub mod day_file;
pub mod judge;
pub mod order;
pub mod record;
pub mod report;
pub mod sheet;
