//! Holds back requests that crash servers: those with a part in their prompts that does, and whole requests that come again.
//!
//! A gateway that sees a server crash tells the others which requests the server had not answered whole, and every
//! gateway draws the same conclusions from these reports ([`crate::decide::CrashBlame`]). A crash that turns out to be
//! none, since the server is seen to run on, is retracted everywhere. The held parts are also kept in
//! the store, so that they outlive a restart of all gateways. See `docs/CRASHING-PARTS.md`.

mod breaks;
mod ledger;
mod probe;
mod record;
mod renewal;
mod rows;
mod sight;
mod state;
#[cfg(test)]
mod tests;

pub use breaks::BreakWatch;
pub use ledger::HoldLedger;
pub use ledger::Ledger;
pub use ledger::LedgerChange;
pub use ledger::LedgerEntry;
pub use ledger::LedgerSync;
pub use ledger::TrialClaims;
pub use probe::ServerReach;
pub use record::CrashRecord;
pub use record::Records;
pub use record::SightingRecord;
pub use record::SuspectRecord;
pub use renewal::RenewalWatch;
pub use renewal::Renewals;
pub use rows::RecordSource;
pub use state::HeldPart;
pub use state::Quarantine;
