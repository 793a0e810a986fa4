//! Chooses the backend server that a request is sent to.
//!
//! Load pattern: many requests share a few large prompt parts, and one part suddenly becomes hot. If servers were
//! chosen by load alone, every engine would have to process every part; if by hash alone, the engine of the hot part
//! would be overloaded. Each part therefore ranks the engines as its homes, independent of load. Only the first few
//! homes are tried in this order: a request goes to the first of them that has a free slot and whose load is within a
//! bound relative to the mean. If there is none, it goes to the least loaded engine that meets both conditions. While the engines
//! fill, it goes to one of these, or else to one within the bound, at random in proportion to the room that the bound leaves: if
//! all gateways chose the least loaded engine, of which they know up to a second late, they would fill it together. Only
//! engines that the request may be sent to are considered.
//!
//! An engine is a backend server that runs a model; a server is any backend server.

use super::hash::hash;

/// A part of a prompt that other requests may share.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct PromptPart {
    /// Identifies the text of this part together with all parts before it.
    pub id: u64,
    /// Length in tokens.
    pub tokens: u32,
}

/// The properties of a request that placement uses.
#[derive(Clone, Copy, Debug)]
pub struct PlacementRequest<'a> {
    /// Parts of the prompt, in order; the last one is specific to the request or its session.
    pub parts: &'a [PromptPart],
    /// Number derived from the request that differs between requests. Seeds the random choice for plain calls, and
    /// replaces the part's id for a prompt without parts.
    pub salt: u64,
}

/// The state of a server that placement uses.
#[derive(Clone, Copy, Debug)]
pub struct ServerView<'a> {
    /// Name of the server.
    pub id: &'a str,
    /// Whether it is in the gateway's data centre.
    pub is_near: bool,
    /// Maximum number of requests that it runs concurrently.
    pub slots: u32,
    /// Number of requests known to be running or waiting there.
    pub load: u32,
    /// Moving mean of `load` over about the last second, in which the load of short calls changes many times.
    pub smoothed_load: f64,
    /// Whether it recently failed more often than the other servers of its service, or stopped responding.
    pub is_suspended: bool,
    /// Whether this request was already sent to it.
    pub is_tried: bool,
    /// Whether it joined so recently that it may not have cached the prompt parts that it is now the home of.
    pub is_warming_up: bool,
    /// Whether it gets no new requests, by the server list or since it said so; it still has the prompt parts cached that it was the home of.
    pub is_draining: bool,
    /// Whether it has started so recently that it bears few requests; it counts in no decision on the load of its service.
    pub is_cold: bool,
    /// Whether this gateway may send it no request now, since it is cold and has had this gateway's share.
    pub is_withheld: bool,
    /// Time that it takes as a multiple of what the others of its service take; 1 if it is not slow.
    pub slowness: f64,
}

impl ServerView<'_> {
    /// Returns whether it gets a share of new requests: it is neither suspended nor draining nor withheld.
    pub fn is_available(&self) -> bool {
        !self.is_suspended && !self.is_draining && !self.is_withheld
    }

    /// Returns its load as a multiple of its slots.
    pub fn load_per_slot(&self) -> f64 {
        f64::from(self.load) / f64::from(self.slots.max(1))
    }

    /// Returns its smoothed load as a multiple of its slots.
    fn smoothed_load_per_slot(&self) -> f64 {
        self.smoothed_load / f64::from(self.slots.max(1))
    }

    /// Returns the number of requests that a server that is not slow would run in the time that this one takes for its
    /// load.
    fn load_by_pace(&self) -> f64 {
        f64::from(self.load) * self.slowness
    }

    fn is_slow(&self) -> bool {
        self.slowness > 1.0
    }
}

/// Returns the smoothed load of all available servers together, as a multiple of their slots; `None` if there are no
/// slots. Used to decide whether a request is admitted.
pub fn smoothed_load_per_slot(servers: &[ServerView<'_>]) -> Option<f64> {
    let available = || {
        servers
            .iter()
            .filter(|server| server.is_available() && !server.is_cold)
    };
    let load: f64 = available().map(|server| server.smoothed_load).sum();
    let slots_by_pace = |server: &ServerView<'_>| f64::from(server.slots) / server.slowness;
    let slots: f64 = available().map(slots_by_pace).sum();
    (slots > 0.0).then(|| load / slots)
}

/// The server chosen for a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Choice {
    /// Index of the chosen server in the list.
    pub index: usize,
    /// Rank of the chosen server among the homes of the request's prompt part: the number of homes before it; 0 for
    /// plain calls.
    pub passed_over: usize,
    /// Index of a server that probably has more of the prompt cached than the chosen one, to copy the cache from.
    pub copy_from: Option<usize>,
}

/// A strategy that chooses among the servers of one service.
pub trait Placement: Send + Sync {
    /// Chooses one of `servers`; `None` if none may be used.
    fn choose(&self, request: &PlacementRequest<'_>, servers: &[ServerView<'_>]) -> Option<Choice>;
}

/// Returns the indices of the servers that the request may be sent to: the available ones that were not tried yet or,
/// if there are none, the suspended ones that were not tried yet. Draining servers are never used.
fn eligible(servers: &[ServerView<'_>]) -> Vec<usize> {
    let indices_where = |keep: &dyn Fn(&ServerView<'_>) -> bool| -> Vec<usize> {
        (0..servers.len())
            .filter(|&index| keep(&servers[index]))
            .collect()
    };
    let available = indices_where(&|server| !server.is_tried && server.is_available());
    if available.is_empty() {
        indices_where(&|server| !server.is_tried && !server.is_draining && !server.is_withheld)
    } else {
        available
    }
}

/// Places plain calls by weighted random choice; the weight of a server is its free capacity per slot, divided by the
/// square of its slowness: a slow server runs fewer calls in the same time, and each of them is late.
///
/// Load pattern: many nodes place short calls by load information that is several calls old. If all chose the least
/// loaded server, or a near one as long as it looked free, they would overload it at the same time, and it would
/// reject calls while other servers are idle.
#[derive(Clone, Copy, Debug)]
pub struct PlainPlacement {
    /// Mean smoothed load per slot of the near servers up to which they get all calls, since traffic between data
    /// centres has a cost. From there to `no_preference_above`, the share of calls that are sent to near servers only
    /// falls linearly from 1 to 0.
    pub near_only_below: f64,
    /// Mean smoothed load per slot of the near servers from which they are treated like all others.
    pub no_preference_above: f64,
}

/// Weight of a server without free capacity, as load per slot; above zero so that it is still tried.
const MIN_FREE_CAPACITY_PER_SLOT: f64 = 0.05;
/// Smoothed load per slot at which a server has no free capacity; above 1 because some calls may wait.
const CAPACITY_PER_SLOT: f64 = 1.25;

impl Default for PlainPlacement {
    fn default() -> Self {
        Self {
            // About the load of a service of the reference workload on an ordinary day; up to that load the near
            // servers suffice.
            near_only_below: 0.5,
            no_preference_above: 1.0,
        }
    }
}

impl PlainPlacement {
    /// Returns the probability that only near servers are considered for a call: 1 up to `near_only_below`, falling
    /// linearly to 0 at `no_preference_above`.
    fn near_only_probability(&self, load_per_slot: f64) -> f64 {
        let span = (self.no_preference_above - self.near_only_below).max(f64::EPSILON);
        ((self.no_preference_above - load_per_slot) / span).clamp(0.0, 1.0)
    }
}

/// First number of the random fractions that decide whether a home is passed over.
const HOME_DRAWS: u8 = 16;

/// Returns a random number from 0 to 1 derived from the request; different values of `number` give independent results.
fn random_fraction(request: &PlacementRequest<'_>, number: u8) -> f64 {
    let random = hash(&[&request.salt.to_le_bytes(), &[number]]);
    f64::from((random >> 32) as u32) / f64::from(u32::MAX)
}

/// Chooses one of `indices` with a probability in proportion to its weight; `fraction` is a random number from 0 to
/// 1.
fn choose_weighted(
    indices: &[usize],
    weight: impl Fn(usize) -> f64,
    fraction: f64,
) -> Option<usize> {
    let total: f64 = indices.iter().map(|&index| weight(index)).sum();
    let mut remaining = fraction * total;
    for &index in indices {
        remaining -= weight(index);
        if remaining < 0.0 {
            return Some(index);
        }
    }
    indices.last().copied()
}

impl Placement for PlainPlacement {
    fn choose(&self, request: &PlacementRequest<'_>, servers: &[ServerView<'_>]) -> Option<Choice> {
        let eligible = eligible(servers);
        let load_per_slot = |index: usize| servers[index].smoothed_load_per_slot();
        let free_capacity_per_slot = |index: usize| {
            let free = (CAPACITY_PER_SLOT - load_per_slot(index)).max(MIN_FREE_CAPACITY_PER_SLOT);
            free / servers[index].slowness.powi(2)
        };
        let fraction = |number: u8| random_fraction(request, number);
        let near: Vec<usize> = eligible
            .iter()
            .copied()
            .filter(|&index| servers[index].is_near && !servers[index].is_slow())
            .collect();
        let near_load_per_slot =
            near.iter().map(|&index| load_per_slot(index)).sum::<f64>() / near.len().max(1) as f64;
        let indices =
            if !near.is_empty() && fraction(0) < self.near_only_probability(near_load_per_slot) {
                near
            } else {
                eligible
            };
        let index = choose_weighted(&indices, free_capacity_per_slot, fraction(1))?;
        Some(Choice {
            index,
            passed_over: 0,
            copy_from: None,
        })
    }
}

/// Places chats at the homes of their shared prompt parts, within a bound on the load.
#[derive(Clone, Copy, Debug)]
pub struct EnginePlacement {
    /// Multiple of the mean load which, together with `bound_extra`, bounds the load up to which a home is used. The
    /// bound is lower than the limit that the load of every engine has to keep, to leave a margin for requests from
    /// other nodes that this node doesn't know of yet.
    pub bound_factor: f64,
    /// Number of requests above that multiple that are within the bound, as far as the engine has free slots.
    pub bound_extra: f64,
    /// Multiple of the mean load which, together with half of `bound_extra`, is the load from which homes are passed over by some
    /// requests.
    pub soft_bound_factor: f64,
    /// Load of all engines as a multiple of their slots from which they count as filling.
    pub filling_from: f64,
    /// Number of homes of a part that are tried in their order, before any other engine is chosen.
    pub home_count: usize,
}

impl Default for EnginePlacement {
    fn default() -> Self {
        Self {
            // The load of any engine has to stay within twice the mean load plus three requests. The values leave a
            // margin below that limit for the requests that other nodes send between two exchanges of loads.
            bound_factor: 1.6,
            bound_extra: 2.0,
            // A home at about the mean load gets all requests of its parts.
            soft_bound_factor: 1.2,
            // Below that the requests of a second don't fill an engine, and equal choices keep prompt parts at few engines.
            filling_from: 0.33,
            home_count: 2,
        }
    }
}

impl EnginePlacement {
    /// Returns the indices of all `servers` in the order in which they are homes of the request's prompt part.
    pub fn home_order(
        &self,
        request: &PlacementRequest<'_>,
        servers: &[ServerView<'_>],
    ) -> Vec<usize> {
        let all: Vec<usize> = (0..servers.len()).collect();
        self.ranked_homes(Self::key(request), &all, servers)
    }

    /// Returns `candidates` in the order in which they are homes of `key`.
    fn ranked_homes(
        &self,
        key: u64,
        candidates: &[usize],
        servers: &[ServerView<'_>],
    ) -> Vec<usize> {
        let mut ranked: Vec<(u64, usize)> = candidates
            .iter()
            .map(|&index| {
                (
                    hash(&[servers[index].id.as_bytes(), &key.to_le_bytes()]),
                    index,
                )
            })
            .collect();
        ranked.sort_unstable();
        ranked.into_iter().map(|(_, index)| index).collect()
    }

    /// Returns the first-ranked draining engine that precedes all of `homes` in the home order of `key`, if there is
    /// one. It was probably the first home before it began to drain; tried and suspended engines, which `homes` leaves
    /// out, are not taken into account.
    fn draining_home(
        &self,
        key: u64,
        homes: &[usize],
        servers: &[ServerView<'_>],
    ) -> Option<usize> {
        let first = homes.first()?;
        let draining = (0..servers.len()).filter(|&index| servers[index].is_draining);
        let candidates: Vec<usize> = draining.chain([*first]).collect();
        let was_home = *self.ranked_homes(key, &candidates, servers).first()?;
        servers[was_home].is_draining.then_some(was_home)
    }

    /// Returns the id of the part whose homes are used: the last shared part, since a cached part is usable only
    /// together with all parts before it. A prompt of a single part uses the id of that part, and a prompt without
    /// parts uses the salt.
    fn key(request: &PlacementRequest<'_>) -> u64 {
        match request.parts {
            [] => request.salt,
            [own] => own.id,
            [.., shared, _] => shared.id,
        }
    }
}

/// Minimum number of shared tokens for which their cache is copied instead of processing them again. At the 68 tokens a
/// ms of the reference workload, setting up a copy takes as long as processing about 270 tokens; the threshold leaves a
/// margin over this break-even point.
const MIN_COPY_TOKENS: u64 = 512;

/// Returns the engine that probably has the prompt's shared parts cached: `draining_home`, the former first home, if
/// there is one. Otherwise, if the request was not placed at the first home, or that home is warming up, the first
/// other home that is neither warming up nor suspended. For a request that was not placed at the first home, this is
/// normally that first home; if the chosen first home is warming up, it is the engine that was the first home until the
/// chosen one joined.
fn copy_source(
    request: &PlacementRequest<'_>,
    servers: &[ServerView<'_>],
    homes: &[usize],
    passed_over: usize,
    draining_home: Option<usize>,
) -> Option<usize> {
    let (_, shared) = request.parts.split_last()?;
    if shared
        .iter()
        .map(|part| u64::from(part.tokens))
        .sum::<u64>()
        < MIN_COPY_TOKENS
    {
        return None;
    }
    if draining_home.is_some() {
        return draining_home;
    }
    let chosen = *homes.get(passed_over)?;
    let mut others = homes.iter().copied().filter(|&index| index != chosen);
    if passed_over > 0 || servers[chosen].is_warming_up || servers[chosen].is_cold {
        others.find(|&index| {
            let server = &servers[index];
            !server.is_warming_up && !server.is_suspended && !server.is_cold
        })
    } else {
        None
    }
}

impl Placement for EnginePlacement {
    fn choose(&self, request: &PlacementRequest<'_>, servers: &[ServerView<'_>]) -> Option<Choice> {
        let eligible = eligible(servers);
        if eligible.is_empty() {
            return None;
        }
        let loads = eligible.iter().map(|&index| f64::from(servers[index].load));
        let total: f64 = loads.sum();
        let mean = total / eligible.len() as f64;
        let bound = mean * self.bound_factor + self.bound_extra;
        let has_room = |index: &usize| {
            let server = &servers[*index];
            let load = server.load_by_pace();
            load < bound && load < f64::from(server.slots)
        };
        let homes = self.ranked_homes(Self::key(request), &eligible, servers);
        let slots = eligible
            .iter()
            .map(|&index| f64::from(servers[index].slots));
        let is_filling = total >= slots.sum::<f64>() * self.filling_from;
        // While engines fill, a part of the requests passes a home over from `soft_bound` on, the larger the nearer its load is to the
        // bound: a home that all gateways leave, or return to, at the same load as they know it late is loaded far beyond the bound
        // by turns.
        let soft_bound = mean * self.soft_bound_factor + self.bound_extra / 2.0;
        let is_preferred = |rank: usize, index: &usize| {
            let load = servers[*index].load_by_pace();
            let room = (bound - load) / (bound - soft_bound).max(f64::EPSILON);
            has_room(index)
                && (!is_filling || random_fraction(request, HOME_DRAWS + rank as u8) < room)
        };
        let preferred = homes
            .iter()
            .take(self.home_count)
            .copied()
            .enumerate()
            .find(|(rank, index)| is_preferred(*rank, index))
            .map(|(_, index)| index);
        let room = |index: usize| (bound - servers[index].load_by_pace()).max(0.0);
        let by_load = |a: &usize, b: &usize| {
            let load = |index: &usize| servers[*index].load_by_pace();
            load(a).total_cmp(&load(b))
        };
        // Where all slots are taken, those within the bound share what waits.
        let with_slots: Vec<usize> = homes.iter().copied().filter(has_room).collect();
        let within_bound = || homes.iter().copied().filter(|index| room(*index) > 0.0);
        let index = preferred
            .or_else(|| {
                if is_filling {
                    choose_weighted(&with_slots, room, random_fraction(request, 0))
                } else {
                    with_slots.iter().copied().min_by(by_load)
                }
            })
            .or_else(|| {
                let within_bound: Vec<usize> = within_bound().collect();
                choose_weighted(&within_bound, room, random_fraction(request, 0))
            })
            .or_else(|| homes.iter().copied().min_by(by_load))?;
        let passed_over = homes.iter().position(|home| *home == index).unwrap_or(0);
        let draining_home = self.draining_home(Self::key(request), &homes, servers);
        Some(Choice {
            index,
            passed_over,
            copy_from: copy_source(request, servers, &homes, passed_over, draining_home),
        })
    }
}
