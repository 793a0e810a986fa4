//! Non-idempotent work runs at most once.
//!
//! A call with a key runs only where the platform's log gives its claim the key first ([`Claims`]); a call with a
//! ticket runs only in the process that issued the ticket ([`Tickets`]). See `docs/AT-MOST-ONCE.md` for the failure
//! points and the outcome that a caller gets at each.

mod at_most_once;
mod health;
mod key;
mod key_table;
mod log_claims;
mod record;
mod settings;
mod shard;
mod stored_outcome;
#[cfg(test)]
mod tests;
mod ticket;

pub use at_most_once::AtMostOnce;
pub use at_most_once::Call;
pub use at_most_once::Run;
pub use key::Age;
pub use key::IdempotencyKey;
pub use key::KeyError;
pub use key_table::Fingerprint;
pub use log_claims::Claims;
pub(crate) use log_claims::claimers;
pub use settings::Settings;
pub use ticket::Ticket;
pub use ticket::Tickets;
