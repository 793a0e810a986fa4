//! Chooses a backend server.
//!
//! Load pattern: a few large prompt parts that many requests share, one of them suddenly hot. Placing by load alone reads
//! each part at every engine; placing by hash alone drowns the hot part's engine. Each part has an order of homes that
//! does not depend on load, and a request goes to the first home that is not far above the mean.

use super::hash::hash;

/// A part of a prompt that other requests may share.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct PromptPart {
    /// Identifies the part's text and all that comes before it.
    pub id: u64,
    /// Length in tokens.
    pub tokens: u32,
}

/// What is placed.
#[derive(Clone, Copy, Debug)]
pub struct PlacementRequest<'a> {
    /// Parts of the prompt, in order; the last belongs to the request or its session alone.
    pub parts: &'a [PromptPart],
    /// A number that differs between requests, which breaks ties.
    pub salt: u64,
}

/// A server as placement sees it.
#[derive(Clone, Copy, Debug)]
pub struct ServerView<'a> {
    /// Name of the server.
    pub id: &'a str,
    /// Whether it stands in the gateway's data centre.
    pub is_near: bool,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Requests that run and wait there, as far as known.
    pub load: u32,
    /// The same over the last second or so, in which loads of short calls change many times.
    pub smoothed_load: f64,
    /// Whether it has lately failed more than its like.
    pub is_suspended: bool,
    /// Whether it was tried for this request already.
    pub is_tried: bool,
    /// Whether it joined so lately that it may not hold the prompt parts that it is now the home of.
    pub is_warming_up: bool,
    /// Whether it gets no new work any more, and still holds the prompt parts that it was the home of.
    pub is_draining: bool,
}

impl ServerView<'_> {
    /// Tells whether it counts among those that share the work.
    pub fn is_available(&self) -> bool {
        !self.is_suspended && !self.is_draining
    }

    /// Tells how full it is, in multiples of its slots.
    pub fn load_per_slot(&self) -> f64 {
        f64::from(self.load) / f64::from(self.slots.max(1))
    }

    fn smoothed_load_per_slot(&self) -> f64 {
        self.smoothed_load / f64::from(self.slots.max(1))
    }
}

/// Tells how full the sound ones of `servers` usually are together, in multiples of their slots; nothing where there is
/// none.
pub fn smoothed_load_per_slot(servers: &[ServerView<'_>]) -> Option<f64> {
    let available = || servers.iter().filter(|server| server.is_available());
    let load: f64 = available().map(|server| server.smoothed_load).sum();
    let slots: u32 = available().map(|server| server.slots).sum();
    (slots > 0).then(|| load / f64::from(slots))
}

/// A choice among servers.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Choice {
    /// Place of the chosen server in the list.
    pub index: usize,
    /// How many homes of the request's prompt part were passed over for it.
    pub passed_over: usize,
    /// Place of a server that likely holds more of the prompt than the chosen one, to copy it from.
    pub copy_from: Option<usize>,
}

/// Chooses among the servers of one service.
pub trait Placement: Send + Sync {
    /// Chooses one of `servers`, or none where none may be used.
    fn choose(&self, request: &PlacementRequest<'_>, servers: &[ServerView<'_>]) -> Option<Choice>;
}

/// Servers that are left for choice: those in good standing, or all that were not tried where none is.
fn eligible(servers: &[ServerView<'_>]) -> Vec<usize> {
    let indices_where = |keep: &dyn Fn(&ServerView<'_>) -> bool| -> Vec<usize> {
        (0..servers.len())
            .filter(|&index| keep(&servers[index]))
            .collect()
    };
    let available = indices_where(&|server| !server.is_tried && server.is_available());
    if available.is_empty() {
        indices_where(&|server| !server.is_tried && !server.is_draining)
    } else {
        available
    }
}

/// Places plain calls by chance, servers with more room more often.
///
/// Load pattern: many nodes place short calls by loads that are some calls old. Were all to take the emptiest server, or
/// the near one while it looks free, they would flood it together and be turned away while others stand idle.
#[derive(Clone, Copy, Debug)]
pub struct PlainPlacement {
    /// Usual share of its slots up to which a near server gets all calls; bytes between data centres cost.
    pub near_only_below: f64,
    /// Usual share of its slots from which a near server is treated like any other.
    pub no_preference_above: f64,
}

/// Share of room that counts for a server without any, so that it is still tried.
const MIN_FREE_CAPACITY: f64 = 0.05;
/// Usual load, in shares of the slots, up to which a server has room: some calls may wait.
const CAPACITY_PER_SLOT: f64 = 1.25;

impl Default for PlainPlacement {
    fn default() -> Self {
        Self {
            // A service of the sheets is a good half full on an even day: up to then near servers suffice.
            near_only_below: 0.5,
            no_preference_above: 1.0,
        }
    }
}

impl PlainPlacement {
    fn near_only_probability(&self, load_per_slot: f64) -> f64 {
        let span = (self.no_preference_above - self.near_only_below).max(f64::EPSILON);
        ((self.no_preference_above - load_per_slot) / span).clamp(0.0, 1.0)
    }
}

/// Draws one of `places` by their weights; `chance` is from 0 to 1.
fn choose_weighted(indices: &[usize], weight: impl Fn(usize) -> f64, chance: f64) -> Option<usize> {
    let total: f64 = indices.iter().map(|&index| weight(index)).sum();
    let mut left = chance * total;
    for &index in indices {
        left -= weight(index);
        if left < 0.0 {
            return Some(index);
        }
    }
    indices.last().copied()
}

impl Placement for PlainPlacement {
    fn choose(&self, request: &PlacementRequest<'_>, servers: &[ServerView<'_>]) -> Option<Choice> {
        let eligible = eligible(servers);
        let load_per_slot = |index: usize| servers[index].smoothed_load_per_slot();
        let free_capacity =
            |index: usize| (CAPACITY_PER_SLOT - load_per_slot(index)).max(MIN_FREE_CAPACITY);
        let fraction = |number: u8| {
            let random = hash(&[&request.salt.to_le_bytes(), &[number]]);
            f64::from((random >> 32) as u32) / f64::from(u32::MAX)
        };
        let near: Vec<usize> = eligible
            .iter()
            .copied()
            .filter(|&index| servers[index].is_near)
            .collect();
        let near_load_per_slot =
            near.iter().map(|&index| load_per_slot(index)).sum::<f64>() / near.len().max(1) as f64;
        let indices =
            if !near.is_empty() && fraction(0) < self.near_only_probability(near_load_per_slot) {
                near
            } else {
                eligible
            };
        let index = choose_weighted(&indices, free_capacity, fraction(1))?;
        Some(Choice {
            index,
            passed_over: 0,
            copy_from: None,
        })
    }
}

/// Places chats by the homes of their shared prompt parts, within a bound on load.
#[derive(Clone, Copy, Debug)]
pub struct EnginePlacement {
    /// Multiple of the mean load up to which a home is used; the fleet's bound less what may be unknown.
    pub bound_factor: f64,
    /// Requests over the mean that are always allowed.
    pub bound_extra: f64,
    /// Homes of a part among which the least loaded is taken, once the first is over the mean.
    pub home_count: usize,
}

impl Default for EnginePlacement {
    fn default() -> Self {
        Self {
            // Under the fleet's bound of twice the mean and three, by what others send between two exchanges of loads.
            bound_factor: 1.6,
            bound_extra: 2.0,
            home_count: 2,
        }
    }
}

impl EnginePlacement {
    /// Servers in the order in which they are homes of `key`.
    fn ranked_homes(&self, key: u64, eligible: &[usize], servers: &[ServerView<'_>]) -> Vec<usize> {
        let mut ranked: Vec<(u64, usize)> = eligible
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

    /// Finds the engine that was the first home of `key` and is leaving.
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

    /// The part that decides: the last shared one, since it is cached only together with all before it.
    fn key(request: &PlacementRequest<'_>) -> u64 {
        match request.parts {
            [] => request.salt,
            [own] => own.id,
            [.., shared, _] => shared.id,
        }
    }
}

/// Shared tokens from which copying them beats reading them: at the sheets' 68 tokens a ms, setting a copy up takes as
/// long as reading some 270.
const MIN_COPY_TOKENS: u32 = 512;

/// Finds the engine that held the prompt's shared parts before: `leaving`, where that would be the home; else the first
/// home where it was passed over, and the next one where the first has only just joined, since that was the home until
/// then.
fn copy_source(
    request: &PlacementRequest<'_>,
    servers: &[ServerView<'_>],
    homes: &[usize],
    passed_over: usize,
    draining: Option<usize>,
) -> Option<usize> {
    let (_, shared) = request.parts.split_last()?;
    if shared.iter().map(|part| part.tokens).sum::<u32>() < MIN_COPY_TOKENS {
        return None;
    }
    if draining.is_some() {
        return draining;
    }
    let chosen = *homes.get(passed_over)?;
    let mut others = homes.iter().copied().filter(|&index| index != chosen);
    if passed_over > 0 || servers[chosen].is_warming_up {
        others.find(|&index| !servers[index].is_warming_up && !servers[index].is_suspended)
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
        let total: u32 = eligible.iter().map(|&index| servers[index].load).sum();
        let mean = f64::from(total) / eligible.len() as f64;
        let bound = mean * self.bound_factor + self.bound_extra;
        let has_room = |index: &usize| {
            let server = &servers[*index];
            f64::from(server.load) < bound && server.load < server.slots
        };
        let homes = self.ranked_homes(Self::key(request), &eligible, servers);
        let preferred = homes
            .iter()
            .take(self.home_count)
            .copied()
            .find(|index| has_room(index));
        let load_of = |index: &usize| servers[*index].load;
        let index = preferred
            .or_else(|| homes.iter().copied().filter(has_room).min_by_key(load_of))
            .or_else(|| homes.iter().copied().min_by_key(load_of))?;
        let passed_over = homes.iter().position(|home| *home == index).unwrap_or(0);
        let draining = self.draining_home(Self::key(request), &homes, servers);
        Some(Choice {
            index,
            passed_over,
            copy_from: copy_source(request, servers, &homes, passed_over, draining),
        })
    }
}
