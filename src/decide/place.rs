//! Chooses a backend server.
//!
//! Load pattern: a few large prompt parts that many requests share, one of them suddenly hot. Placing by load alone reads
//! each part at every engine; placing by hash alone drowns the hot part's engine. Each part has an order of homes that
//! does not depend on load, and a request goes to the first home that is not far above the mean.

use siphasher::sip::SipHasher13;
use std::hash::Hasher;

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
    /// Whether it has lately failed more than its like.
    pub is_suspended: bool,
    /// Whether it was tried for this request already.
    pub is_tried: bool,
    /// Whether it joined so lately that it may not hold the prompt parts that it is now the home of.
    pub is_young: bool,
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
    let good = pick(&|server| !server.is_tried && !server.is_suspended);
    if good.is_empty() {
        pick(&|server| !server.is_tried)
    } else {
        good
    }
}

fn hash(parts: &[&[u8]]) -> u64 {
    let mut hasher = SipHasher13::new();
    for part in parts {
        hasher.write(part);
        hasher.write_u8(0xff);
    }
    hasher.finish()
}

/// Places plain calls: the server with the most room, near ones first while they have room.
#[derive(Clone, Copy, Debug)]
pub struct PlainPlacement {
    /// Share of its slots up to which a near server is preferred; bytes between data centres cost.
    pub near_fill: f64,
}

impl Placement for PlainPlacement {
    fn choose(&self, work: &Work<'_>, servers: &[ServerView<'_>]) -> Option<Choice> {
        let eligible = eligible(servers);
        let fill = |at: usize| f64::from(servers[at].load) / f64::from(servers[at].slots.max(1));
        let tie = |at: usize| hash(&[servers[at].id.as_bytes(), &work.salt.to_le_bytes()]);
        let least =
            |a: &usize, b: &usize| fill(*a).total_cmp(&fill(*b)).then(tie(*a).cmp(&tie(*b)));
        let near = eligible
            .iter()
            .copied()
            .filter(|&at| servers[at].is_near && fill(at) < self.near_fill)
            .min_by(least);
        let at = near.or_else(|| eligible.into_iter().min_by(least))?;
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

/// Finds the engine that held the prompt's shared parts before: the first home where it was passed over, and the next
/// one where the first has only just joined, since that was the home until then.
fn holder(
    work: &Work<'_>,
    servers: &[ServerView<'_>],
    homes: &[usize],
    passed_over: usize,
) -> Option<usize> {
    let (_, shared) = work.parts.split_last()?;
    if shared.iter().map(|part| part.tokens).sum::<u32>() < COPY_TOKENS_LEAST {
        return None;
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
        Some(Choice {
            at,
            passed_over,
            copy_from: holder(work, servers, &homes, passed_over),
        })
    }
}
