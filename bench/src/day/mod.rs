//! Plays of whole days in real time: the gateways, servers, store and balancer of a sheet as processes of this machine, its callers,
//! and the troubles of a day file.

pub mod addresses;
pub mod callers;
pub mod command;
pub mod day_file;
pub mod fleet;
pub mod gateways;
pub mod journal;
pub mod judge;
pub mod links;
pub mod operator;
pub mod order;
pub mod play;
pub mod record;
pub mod report;
pub mod servers;
pub mod sheet;
pub mod troubles;
