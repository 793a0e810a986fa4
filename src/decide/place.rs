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
pub struct Work<'a> {
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
    pub usual_load: f64,
    /// Whether it has lately failed more than its like.
    pub is_suspended: bool,
    /// Whether it was tried for this request already.
    pub is_tried: bool,
    /// Whether it joined so lately that it may not hold the prompt parts that it is now the home of.
    pub is_young: bool,
    /// Whether it gets no new work any more, and still holds the prompt parts that it was the home of.
    pub is_leaving: bool,
}

impl ServerView<'_> {
    /// Tells whether it counts among those that share the work.
    pub fn is_sound(&self) -> bool {
        !self.is_suspended && !self.is_leaving
    }

    /// Tells how full it is, in multiples of its slots.
    pub fn fill(&self) -> f64 {
        f64::from(self.load) / f64::from(self.slots.max(1))
    }

    fn usual_fill(&self) -> f64 {
        self.usual_load / f64::from(self.slots.max(1))
    }
}

/// Tells how full the sound ones of `servers` usually are together, in multiples of their slots; nothing where there is
/// none.
pub fn usual_fill(servers: &[ServerView<'_>]) -> Option<f64> {
    let sound = || servers.iter().filter(|server| server.is_sound());
    let load: f64 = sound().map(|server| server.usual_load).sum();
    let slots: u32 = sound().map(|server| server.slots).sum();
    (slots > 0).then(|| load / f64::from(slots))
}

/// A choice among servers.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Choice {
    /// Place of the chosen server in the list.
    pub at: usize,
    /// How many homes of the request's prompt part were passed over for it.
    pub passed_over: usize,
    /// Place of a server that likely holds more of the prompt than the chosen one, to copy it from.
    pub copy_from: Option<usize>,
}

/// Chooses among the servers of one service.
pub trait Placement: Send + Sync {
    /// Chooses one of `servers`, or none where none may be used.
    fn choose(&self, work: &Work<'_>, servers: &[ServerView<'_>]) -> Option<Choice>;
}

/// Servers that are left for choice: those in good standing, or all that were not tried where none is.
fn eligible(servers: &[ServerView<'_>]) -> Vec<usize> {
    let pick = |keep: &dyn Fn(&ServerView<'_>) -> bool| -> Vec<usize> {
        (0..servers.len())
            .filter(|&at| keep(&servers[at]))
            .collect()
    };
    let good = pick(&|server| !server.is_tried && server.is_sound());
    if good.is_empty() {
        pick(&|server| !server.is_tried && !server.is_leaving)
    } else {
        good
    }
}

/// Places plain calls by chance, servers with more room more often.
///
/// Load pattern: many nodes place short calls by loads that are some calls old. Were all to take the emptiest server, or
/// the near one while it looks free, they would flood it together and be turned away while others stand idle.
#[derive(Clone, Copy, Debug)]
pub struct PlainPlacement {
    /// Usual share of its slots up to which a near server gets all calls; bytes between data centres cost.
    pub near_all_below: f64,
    /// Usual share of its slots from which a near server is treated like any other.
    pub near_none_above: f64,
}

/// Share of room that counts for a server without any, so that it is still tried.
const ROOM_LEAST: f64 = 0.05;
/// Usual load, in shares of the slots, up to which a server has room: some calls may wait.
const ROOM_MOST: f64 = 1.25;

impl Default for PlainPlacement {
    fn default() -> Self {
        Self {
            // A service of the sheets is a good half full on an even day: up to then near servers suffice.
            near_all_below: 0.5,
            near_none_above: 1.0,
        }
    }
}

impl PlainPlacement {
    fn near_share(&self, fill: f64) -> f64 {
        let span = (self.near_none_above - self.near_all_below).max(f64::EPSILON);
        ((self.near_none_above - fill) / span).clamp(0.0, 1.0)
    }
}

/// Draws one of `places` by their weights; `chance` is from 0 to 1.
fn draw(places: &[usize], weight: impl Fn(usize) -> f64, chance: f64) -> Option<usize> {
    let total: f64 = places.iter().map(|&at| weight(at)).sum();
    let mut left = chance * total;
    for &at in places {
        left -= weight(at);
        if left < 0.0 {
            return Some(at);
        }
    }
    places.last().copied()
}

impl Placement for PlainPlacement {
    fn choose(&self, work: &Work<'_>, servers: &[ServerView<'_>]) -> Option<Choice> {
        let eligible = eligible(servers);
        let fill = |at: usize| servers[at].usual_fill();
        let room = |at: usize| (ROOM_MOST - fill(at)).max(ROOM_LEAST);
        let chance = |number: u8| {
            let drawn = hash(&[&work.salt.to_le_bytes(), &[number]]);
            f64::from((drawn >> 32) as u32) / f64::from(u32::MAX)
        };
        let near: Vec<usize> = eligible
            .iter()
            .copied()
            .filter(|&at| servers[at].is_near)
            .collect();
        let near_fill = near.iter().map(|&at| fill(at)).sum::<f64>() / near.len().max(1) as f64;
        let places = if !near.is_empty() && chance(0) < self.near_share(near_fill) {
            near
        } else {
            eligible
        };
        let at = draw(&places, room, chance(1))?;
        Some(Choice {
            at,
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
    pub homes: usize,
}

impl Default for EnginePlacement {
    fn default() -> Self {
        Self {
            // Under the fleet's bound of twice the mean and three, by what others send between two exchanges of loads.
            bound_factor: 1.6,
            bound_extra: 2.0,
            homes: 2,
        }
    }
}

impl EnginePlacement {
    /// Servers in the order in which they are homes of `key`.
    fn homes_of(&self, key: u64, eligible: &[usize], servers: &[ServerView<'_>]) -> Vec<usize> {
        let mut ranked: Vec<(u64, usize)> = eligible
            .iter()
            .map(|&at| (hash(&[servers[at].id.as_bytes(), &key.to_le_bytes()]), at))
            .collect();
        ranked.sort_unstable();
        ranked.into_iter().map(|(_, at)| at).collect()
    }

    /// Finds the engine that was the first home of `key` and is leaving.
    fn leaving_home(&self, key: u64, homes: &[usize], servers: &[ServerView<'_>]) -> Option<usize> {
        let first = homes.first()?;
        let leaving = (0..servers.len()).filter(|&at| servers[at].is_leaving);
        let candidates: Vec<usize> = leaving.chain([*first]).collect();
        let was_home = *self.homes_of(key, &candidates, servers).first()?;
        servers[was_home].is_leaving.then_some(was_home)
    }

    /// The part that decides: the last shared one, since it is cached only together with all before it.
    fn key(work: &Work<'_>) -> u64 {
        match work.parts {
            [] => work.salt,
            [own] => own.id,
            [.., shared, _] => shared.id,
        }
    }
}

/// Shared tokens from which copying them beats reading them: at the sheets' 68 tokens a ms, setting a copy up takes as
/// long as reading some 270.
const COPY_TOKENS_LEAST: u32 = 512;

/// Finds the engine that held the prompt's shared parts before: `leaving`, where that would be the home; else the first
/// home where it was passed over, and the next one where the first has only just joined, since that was the home until
/// then.
fn holder(
    work: &Work<'_>,
    servers: &[ServerView<'_>],
    homes: &[usize],
    passed_over: usize,
    leaving: Option<usize>,
) -> Option<usize> {
    let (_, shared) = work.parts.split_last()?;
    if shared.iter().map(|part| part.tokens).sum::<u32>() < COPY_TOKENS_LEAST {
        return None;
    }
    if leaving.is_some() {
        return leaving;
    }
    let chosen = *homes.get(passed_over)?;
    let mut others = homes.iter().copied().filter(|&at| at != chosen);
    if passed_over > 0 || servers[chosen].is_young {
        others.find(|&at| !servers[at].is_young && !servers[at].is_suspended)
    } else {
        None
    }
}

impl Placement for EnginePlacement {
    fn choose(&self, work: &Work<'_>, servers: &[ServerView<'_>]) -> Option<Choice> {
        let eligible = eligible(servers);
        if eligible.is_empty() {
            return None;
        }
        let total: u32 = eligible.iter().map(|&at| servers[at].load).sum();
        let mean = f64::from(total) / eligible.len() as f64;
        let bound = mean * self.bound_factor + self.bound_extra;
        let has_room = |at: &usize| {
            let server = &servers[*at];
            f64::from(server.load) < bound && server.load < server.slots
        };
        let homes = self.homes_of(Self::key(work), &eligible, servers);
        let within = homes
            .iter()
            .take(self.homes)
            .copied()
            .find(|at| has_room(at));
        let least = |at: &usize| servers[*at].load;
        let at = within
            .or_else(|| homes.iter().copied().filter(has_room).min_by_key(least))
            .or_else(|| homes.iter().copied().min_by_key(least))?;
        let passed_over = homes.iter().position(|home| *home == at).unwrap_or(0);
        let leaving = self.leaving_home(Self::key(work), &homes, servers);
        Some(Choice {
            at,
            passed_over,
            copy_from: holder(work, servers, &homes, passed_over, leaving),
        })
    }
}
