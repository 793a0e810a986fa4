//! Decides whether a gateway reaches no server of a service.
//!
//! Load pattern: a gateway loses its paths to all of 60 servers at once, while it sends some requests a second. It would have to
//! fail at each of them to know, and others would ask it in vain meanwhile. A few failures at different servers without a sign
//! of life from any in between are enough; a server that crashes fails alone. `docs/REACHING-SERVERS.md` has the whole protocol.

use crate::clock::BootInstant;
use std::time::Duration;

/// Number of servers that must have failed, or all of a smaller service.
const MIN_FAILED: usize = 3;
/// Age from which a failure tells nothing any more: blocked paths are tried again each second.
const MAX_FAILURE_AGE: Duration = Duration::from_secs(2);

/// What a gateway's own connections to one server of a service showed last.
#[derive(Clone, Copy, Debug, Default)]
pub struct ServerContact {
    /// When a connection could last not be established.
    pub failed_at: Option<BootInstant>,
    /// When a connection was last established, or something arrived on one.
    pub heard_at: Option<BootInstant>,
}

/// Returns whether a gateway reaches none of the servers of a service, of which `contacts` has one for each.
pub fn is_cut_off(contacts: &[ServerContact], now: BootInstant) -> bool {
    let heard_at = contacts.iter().filter_map(|contact| contact.heard_at).max();
    let failed = contacts.iter().filter_map(|contact| contact.failed_at);
    let failed = failed.filter(|at| now.since(*at) < MAX_FAILURE_AGE && Some(*at) > heard_at);
    !contacts.is_empty() && failed.count() >= MIN_FAILED.min(contacts.len())
}
