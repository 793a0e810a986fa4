//! Ensures that non-idempotent calls run at most once.
//!
//! A call with an idempotency key runs only if its claim is the first claim of the key in the platform's log
//! ([`Claims`]). A call with a ticket runs only in the process that issued the ticket ([`Tickets`]). See
//! `docs/AT-MOST-ONCE.md` for the failure points and the outcome that a caller gets at each.

mod at_most_once;
mod key;
mod key_table;
mod log_claims;
mod log_health;
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
