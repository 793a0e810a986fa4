//! Declarations: what operators keep in version control, in INI files of one folder.
//!
//! All problems are collected with file, line, key and what is accepted, so that an operator mends a folder in one go.
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
