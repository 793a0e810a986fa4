//! Decides which gateways may send to a cold server, and how often.
//!
//! Load pattern: a quarter of the engines is replaced while callers burst, or a data centre's servers return together. A
//! server that has just started bears few requests a second from all gateways together and crashes well above. Every gateway
//! sees the same empty servers and would send its next request there in the same instant. The bound is one of the fleet and of
//! any single second, while gateways know of each other's requests up to a second late.
//!
//! So a few gateways, the first by a rendezvous hash, may send to such a server, each with a fixed share that it can't
//! exceed, and nothing has to be agreed while requests wait. See `docs/design/COLD-SERVERS.md`.

use super::hash::hash;
use crate::clock::BootInstant;
use std::time::Duration;

/// Maximum number of gateways that send to one cold server: one that is lost takes a quarter of the bound with it, and more
/// would have smaller shares, of which the single requests of the buckets take a larger part.
const MAX_SENDERS: usize = 4;
/// Smallest part of the bound of a second that makes a share of its own: one request at once and as many in the second.
const MIN_SHARE: f64 = 2.0;
/// Time from taking a token to writing the request: connecting within a data centre takes a few milliseconds.
pub const TOKEN_TIME: Duration = Duration::from_millis(50);
/// Time for which a gateway that left the list still counts as a sender, and for which one that joined does not send. A change
/// of the list is known to all gateways after one read of the directory by the relays, every 6 s, and a few sync requests.
pub const LIST_SETTLING_TIME: Duration = Duration::from_secs(8);

/// Time without news of the other gateways after which a gateway does not use its shares until there are some: several
/// exchanges of loads. A process that was paused has no news at first.
const MAX_NEWS_AGE: Duration = Duration::from_secs(2);

/// What a cold server of a service bears, and for how long it is cold.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ColdPolicy {
    /// Time for which a server is cold after its start.
    pub time: Duration,
    /// Maximum number of requests in any second, from all gateways together.
    pub max_per_second: f64,
}

/// The part of a cold server's bound that one gateway has.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SenderShare {
    /// Number of gateways that send to the server.
    pub senders: usize,
    /// Requests a second of each of them, beside one at once.
    pub rate: f64,
}

/// Divides the bound `max_per_second` among `nodes` gateways.
pub fn sender_share(max_per_second: f64, nodes: usize) -> SenderShare {
    let shares = (max_per_second / MIN_SHARE) as usize;
    let senders = shares.clamp(1, MAX_SENDERS).min(nodes.max(1));
    // In a second, and the time for which a token may be kept, a bucket gives out its one token and those that are added.
    let span = 1.0 + TOKEN_TIME.as_secs_f64();
    let rate = (max_per_second / senders as f64 - 1.0).max(0.0) / span;
    SenderShare { senders, rate }
}

/// Returns whether `own` is among the first `senders` of `nodes` by the rendezvous hash with `server`, which identifies an
/// incarnation.
pub fn is_sender(own: &str, nodes: &[String], server: &[u8], senders: usize) -> bool {
    let rank = |node: &str| hash(&[server, node.as_bytes()]);
    let own_rank = rank(own);
    let before = nodes
        .iter()
        .filter(|node| node.as_str() != own && rank(node) < own_rank);
    before.take(senders).count() < senders
}

/// How current a gateway's knowledge of the others is, on which its shares rest.
#[derive(Clone, Copy, Debug)]
pub struct ShareTerm {
    /// When the gateway started.
    pub started_at: BootInstant,
    /// When it last exchanged loads with others, or acted as relay; `None` before the first time.
    pub news_at: Option<BootInstant>,
    /// Age of its configuration, which the same peers or the store verify; `None` before the first one.
    pub config_age: Option<Duration>,
}

impl ShareTerm {
    /// Returns whether the gateway may use its shares at `now`. One that is cut off may not know of gateways that have joined and,
    /// after [`LIST_SETTLING_TIME`], use theirs.
    pub fn holds(&self, now: BootInstant) -> bool {
        let is_settled = now.since(self.started_at) >= LIST_SETTLING_TIME;
        let has_news = self.news_at.is_some_and(|at| now.since(at) < MAX_NEWS_AGE);
        let is_in_touch = self.config_age.is_some_and(|age| age < LIST_SETTLING_TIME);
        is_settled && has_news && is_in_touch
    }
}

/// The names of gateways that were on the node list in the last [`LIST_SETTLING_TIME`].
///
/// Ranked among all of them, a gateway that joined displaces another at once but sends only later, and one that left is replaced
/// only later. So gateways whose lists differ for a moment never make more senders than intended.
#[derive(Clone, Debug, Default)]
pub struct RecentNodes {
    /// Sorted by name, with the last time at which each was on the list; `None` while it is.
    names: Vec<(String, Option<BootInstant>)>,
}

impl RecentNodes {
    /// Records the names on the list at `now`.
    pub fn record(&mut self, listed: &[String], now: BootInstant) {
        for (name, left_at) in &mut self.names {
            if listed.contains(name) {
                *left_at = None;
            } else {
                left_at.get_or_insert(now);
            }
        }
        for name in listed {
            if let Err(index) = self.names.binary_search_by(|(known, _)| known.cmp(name)) {
                self.names.insert(index, (name.clone(), None));
            }
        }
    }

    /// Removes the names that left the list long ago; returns whether there were any.
    pub fn expire(&mut self, now: BootInstant) -> bool {
        let before = self.names.len();
        self.names
            .retain(|(_, left_at)| left_at.is_none_or(|at| now.since(at) < LIST_SETTLING_TIME));
        self.names.len() < before
    }

    /// Returns the names, sorted.
    pub fn names(&self) -> Vec<String> {
        self.names.iter().map(|(name, _)| name.clone()).collect()
    }
}

/// A token bucket that holds at most one token.
#[derive(Clone, Copy, Debug, Default)]
pub struct SendBucket {
    /// When the token is there; `None` if none has been taken yet.
    next_at: Option<BootInstant>,
}

impl SendBucket {
    /// Returns whether a request may be sent at `now` by a share of `rate` requests a second. While a service has cold servers
    /// only, a request that `yields` to more urgent ones gets a token that has been there for half of the time between two.
    pub fn has_token(&self, rate: f64, yields: bool, now: BootInstant) -> bool {
        let wait = if yields {
            token_pause(rate) / 2
        } else {
            Duration::ZERO
        };
        self.next_at.is_none_or(|at| at.plus(wait) <= now)
    }

    /// Takes the token, if it is there; the next one is there after the time that `rate` requests a second leave.
    pub fn take(&mut self, rate: f64, now: BootInstant) -> bool {
        let has_token = self.has_token(rate, false, now);
        if has_token {
            self.next_at = Some(now.plus(token_pause(rate)));
        }
        has_token
    }
}

fn token_pause(rate: f64) -> Duration {
    let pause = Duration::try_from_secs_f64(1.0 / rate).unwrap_or(MAX_TOKEN_PAUSE);
    pause.min(MAX_TOKEN_PAUSE)
}

/// Longest time between two tokens, for a share with next to no rate.
const MAX_TOKEN_PAUSE: Duration = Duration::from_secs(3_600);

/// What a gateway knows of whether one incarnation of a server is cold.
#[derive(Clone, Copy, Debug, Default)]
pub struct Warmth {
    /// Sequence number of the newest report, and the end of the cold time that it names, counted from its first sight.
    reported: Option<(u64, BootInstant)>,
    /// When a contact with the server last failed; it may have started anew since, before the server list tells.
    failed_at: Option<BootInstant>,
    /// When the first answer after that failure came.
    answered_at: Option<BootInstant>,
}

impl Warmth {
    /// Records the server's report with this sequence number, seen at `now`, which names the cold time that is left.
    pub fn record_report(&mut self, sequence: u64, cold_left: Duration, now: BootInstant) {
        if self.reported.is_none_or(|(known, _)| known != sequence) {
            self.reported = Some((sequence, now.plus(cold_left)));
        }
    }

    /// Records that the server could not be reached or broke a connection.
    pub fn record_failure(&mut self, now: BootInstant) {
        self.failed_at = Some(now);
        self.answered_at = None;
    }

    /// Records that something came from the server.
    pub fn record_answer(&mut self, now: BootInstant) {
        if self.failed_at.is_some() {
            self.answered_at.get_or_insert(now);
        }
    }

    /// Returns for how long the server may be cold from `now` on; `None` if it is warm. `returned_at` is when the evacuation of its
    /// data centre ended.
    pub fn cold_left(
        &self,
        policy: &ColdPolicy,
        returned_at: Option<BootInstant>,
        now: BootInstant,
    ) -> Option<Duration> {
        let reported = self.reported.map(|(_, until)| until);
        let suspected = self.answered_at.or(self.failed_at).max(returned_at);
        let until = reported.max(suspected.map(|at| at.plus(policy.time)))?;
        (until > now).then(|| until.since(now))
    }
}
