//! Starts the components of a node, connects them, and shuts them down in order.

mod build;
mod status;

pub use build::Node;
pub use build::StartError;

use status::Status;
