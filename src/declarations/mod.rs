//! Declarations: the wanted configuration as operators keep it in version control, in INI files of one folder.
//!
//! Parsing collects all problems, each with its file, line and key and the accepted values, so that an operator can fix
//! all of them at once.
//! The reference is `docs/CONFIGURATION.md`.

mod check;
mod fields;
mod folder;
mod objects;
mod problem;
#[cfg(test)]
mod tests;

pub use folder::DeclarationsError;
pub use folder::load;
pub use folder::parse;
pub(crate) use objects::parse_adapter_ref;
pub use problem::Problem;
