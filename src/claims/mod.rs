//! Non-idempotent work runs at most once.
//!
//! See `docs/AT-MOST-ONCE.md` for the failure points and the outcome that a caller gets at each.

mod key;
mod once;
mod settings;
#[cfg(test)]
mod tests;

pub use key::IdempotencyKey;
pub use key::KeyError;
pub use once::Call;
pub use once::Once;
pub use once::Run;
pub use once::Unclaimed;
pub use settings::Settings;
