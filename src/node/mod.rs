//! Puts the slices of one node together, and takes them down in order.

mod build;
mod status;

pub use build::Node;
pub use build::StartError;

use status::Status;
