//! The types of the external interfaces, generated from `schemas/`.
//!
//! The files are included from the product's source by path, so that product and stand-ins use the same schemas.

#[expect(missing_docs, reason = "Generated from schemas/platform.json.")]
#[path = "../../src/border/generated/platform.rs"]
pub mod platform;

#[expect(missing_docs, reason = "Generated from schemas/backend.json.")]
#[path = "../../src/border/generated/backend.rs"]
pub mod backend;

#[expect(
    clippy::unwrap_used,
    missing_docs,
    reason = "Generated from schemas/config.json."
)]
#[path = "../../src/border/generated/config.rs"]
pub mod config;
