//! Decides whether a server that names a limit on its requests gets another one.
//!
//! Load pattern: a server in need takes only so many requests a second from all gateways together. Its gateways get
//! very unequal shares of the load, and each knows what the others sent some tenths of a second late. If each kept to the
//! limit by itself, the server would get it once for each gateway; if all used what is left at the same moment, it would
//! get a burst.
//!
//! Each request is therefore accepted with the probability at which the fleet's requests for the server add up to the
//! limit, wherever they come. A count of what the fleet has sent lately bounds what chance adds to that.
//!
//! Second load pattern: most servers of a service name limits in the same moment, or one that nobody chose for a while has the
//! least load. Then all gateways of a large fleet choose it in the same instant, before any knows of another's request. So only
//! as many gateways as the limit leaves room for may send to such a server, the first by a rendezvous hash, and until the others'
//! requests are known each takes them to send as it does itself.

use crate::clock::BootInstant;
use std::time::Duration;

/// Length of the window in which requests are counted: it covers the time until all gateways know what one has sent, and
/// is short beside the time in which a limit changes.
pub const RATE_WINDOW: Duration = Duration::from_secs(2);
const BUCKET_COUNT: usize = 8;
const BUCKET_LENGTH: Duration = Duration::from_millis(250);
/// Number of buckets, the newest included, that the others don't know of yet: a gateway's requests reach its relay, the other
/// relays and their members within a quarter of a second each.
const UNKNOWN_BUCKETS: usize = 4;
/// Time from learning of a limit until the sums of the others are complete: they have to learn of it, and their requests have to
/// come back.
const SPREAD_TIME: Duration = Duration::from_millis(1_500);
/// Number of requests above the limit that a window may hold, so that a limit below one request a window is used.
const WINDOW_SLACK: f64 = 1.0;
/// Lowest rate at which requests are sent to a server with a limit, in requests a second: only an answer shows that the
/// limit has ended.
const MIN_RATE: f64 = 0.25;

/// Counts events of the last two seconds (`RATE_WINDOW`).
#[derive(Clone, Debug, Default)]
pub struct RateWindow {
    buckets: [u32; BUCKET_COUNT],
    /// Number of the newest bucket since the start of the clock.
    newest: u128,
}

impl RateWindow {
    /// Counts one event at `now`.
    pub fn record(&mut self, now: BootInstant) {
        self.advance(now);
        self.buckets[(self.newest % BUCKET_COUNT as u128) as usize] += 1;
    }

    /// Returns the number of events in the window that ends at `now`.
    pub fn count(&mut self, now: BootInstant) -> u32 {
        self.advance(now);
        self.buckets.iter().sum()
    }

    /// Returns the number of events that the other gateways may not know of yet.
    fn unknown(&mut self, now: BootInstant) -> u32 {
        self.advance(now);
        let newest = (0..UNKNOWN_BUCKETS as u128).filter_map(|back| self.newest.checked_sub(back));
        newest
            .map(|number| self.buckets[(number % BUCKET_COUNT as u128) as usize])
            .sum()
    }

    fn advance(&mut self, now: BootInstant) {
        let number = now.since(BootInstant::default()).as_millis() / BUCKET_LENGTH.as_millis();
        let passed = number.saturating_sub(self.newest).min(BUCKET_COUNT as u128);
        for offset in 0..passed {
            self.buckets[((number - offset) % BUCKET_COUNT as u128) as usize] = 0;
        }
        self.newest = self.newest.max(number);
    }
}

/// Returns the number of gateways that may send to a server that takes `limit` requests a second: few enough that one request of
/// each at once is within what a window of two seconds may hold, and that what they don't know of each other is little.
pub fn limit_senders(limit: f64) -> usize {
    limit.max(MIN_RATE).ceil() as usize + 1
}

/// This gateway's requests for one server.
#[derive(Clone, Debug, Default)]
pub struct OwnRequests {
    /// Requests for which the server was chosen.
    pub chosen: RateWindow,
    /// Requests that were sent there.
    pub sent: RateWindow,
}

impl OwnRequests {
    /// Returns the requests in the last two seconds.
    pub fn count(&mut self, now: BootInstant) -> FleetRequests {
        FleetRequests {
            chosen: self.chosen.count(now),
            sent: self.sent.count(now),
        }
    }

    /// Returns the requests of all `senders` of the server. `others` is the last known sum of the other gateways, `None` without
    /// a recent one, and the limit has been known here for `known_for`.
    pub fn of_fleet(
        &mut self,
        others: Option<FleetRequests>,
        known_for: Duration,
        senders: usize,
        now: BootInstant,
    ) -> FleetRequests {
        let own = self.count(now);
        let senders = u32::try_from(senders).unwrap_or(u32::MAX).max(1);
        let known = others.unwrap_or_default();
        if others.is_none() || known_for < SPREAD_TIME {
            return FleetRequests {
                chosen: own
                    .chosen
                    .saturating_mul(senders)
                    .max(own.chosen + known.chosen),
                sent: own.sent.saturating_mul(senders).max(own.sent + known.sent),
            };
        }
        // What the others choose for each request that is chosen here, by the requests of which both are known; without any, as
        // many as all of them.
        let earlier = own.chosen - self.chosen.unknown(now);
        let ratio = f64::from(known.chosen + senders - 1) / f64::from(earlier + 1);
        let ratio = ratio.min(f64::from(senders - 1));
        let unknown = (f64::from(self.sent.unknown(now)) * ratio).ceil() as u32;
        FleetRequests {
            chosen: own.chosen + known.chosen,
            sent: own.sent + known.sent + unknown,
        }
    }
}

/// Requests for one server in the last two seconds (`RATE_WINDOW`), from all gateways.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct FleetRequests {
    /// Requests for which the server was chosen, this one included, whether or not they were sent there.
    pub chosen: u32,
    /// Requests that were sent there.
    pub sent: u32,
}

impl FleetRequests {
    /// Returns whether a server that takes `limit` requests a second has got all that it takes for now.
    pub fn exhaust(&self, limit: f64) -> bool {
        let allowed = limit.max(MIN_RATE) * RATE_WINDOW.as_secs_f64() + WINDOW_SLACK;
        f64::from(self.sent) + 1.0 > allowed
    }

    /// Returns whether a request is sent to a server that takes `limit` requests a second. `fraction` is a number from 0
    /// to 1 that is evenly distributed over requests.
    pub fn may_send(&self, limit: f64, fraction: f64) -> bool {
        let probability =
            limit.max(MIN_RATE) * RATE_WINDOW.as_secs_f64() / f64::from(self.chosen.max(1));
        fraction < probability && !self.exhaust(limit)
    }
}
