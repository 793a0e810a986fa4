//! The links of a play: a relay before each gateway for callers, and for each gateway a relay to each server, to the store and to each
//! other gateway; and the rules of the troubles that are on.
//!
//! Gateways connect from any address of their host, so that a relay can't tell them apart: each has its own.

use std::io;
use std::net::SocketAddr;
use std::sync::Mutex;
use std::time::Duration;

use crate::standin::peer_relay;
use crate::standin::peer_relay::PairPorts;
use crate::standin::relay::Direction;
use crate::standin::relay::Gate;
use crate::standin::relay::Habits;
use crate::standin::relay::Relay;
use crate::truth::lock;

/// What is at the other end of a link of a gateway.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Target {
    /// Callers, and the balancer's questions whether the gateway is ready.
    Callers,
    /// The store.
    Store,
    /// The server with this number.
    Server(usize),
    /// The gateway with this number, whichever of both connects to the other.
    Gateway(usize),
}

/// What a rule does to links.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Effect {
    /// Bytes are held, and delivered when the rule ends.
    Silent,
    /// Bytes of one direction are held, seen from the gateway of the rule: [`Direction::Back`] holds what comes to it.
    Blocked(Direction),
    /// Connections are reset, new ones too.
    Reset,
    /// New connections get this status; open ones are reset.
    Answer(u16),
    /// All bytes are delayed by this time more.
    Delay(Duration),
}

impl Effect {
    /// Returns the effect as seen from the other end.
    fn mirrored(self) -> Self {
        match self {
            Self::Blocked(Direction::Forward) => Self::Blocked(Direction::Back),
            Self::Blocked(Direction::Back) => Self::Blocked(Direction::Forward),
            same => same,
        }
    }

    fn add_to(self, habits: &mut Habits) {
        match self {
            Self::Silent => habits.is_silent = true,
            // Two rules may hold a direction each.
            Self::Blocked(direction) if habits.blocked.is_some_and(|it| it != direction) => {
                habits.is_silent = true;
            }
            Self::Blocked(direction) => habits.blocked = Some(direction),
            Self::Reset => habits.gate = Gate::Reset,
            Self::Answer(status) => habits.gate = Gate::Answer(status),
            Self::Delay(more) => habits.delay += more,
        }
    }
}

/// Links, and what becomes of them.
#[derive(Clone, Debug)]
pub struct Rule {
    /// Numbers of the gateways.
    pub gateways: Vec<usize>,
    /// The other ends.
    pub targets: Vec<Target>,
    /// What is done to the links between both.
    pub effect: Effect,
}

impl Rule {
    fn names(&self, gateway: usize, target: Target) -> bool {
        self.gateways.contains(&gateway) && self.targets.contains(&target)
    }

    /// Returns what the rule does to the connections of `gateway` to `target`: as it names them, and as it names those between two
    /// gateways from the other end.
    fn effects_on(&self, gateway: usize, target: Target) -> impl Iterator<Item = Effect> {
        let named = self.names(gateway, target).then_some(self.effect);
        let mirrored = match target {
            Target::Gateway(other) if self.names(other, Target::Gateway(gateway)) => {
                Some(self.effect.mirrored()).filter(|effect| Some(*effect) != named)
            }
            _ => None,
        };
        named.into_iter().chain(mirrored)
    }
}

/// The link for the connections of one gateway to another one.
#[derive(Clone, Copy, Debug)]
pub struct PeerLink {
    /// Number of the gateway that connects.
    pub from: usize,
    /// Number of the other one.
    pub to: usize,
    /// Address of the link.
    pub address: SocketAddr,
    /// Address of the other gateway.
    pub target: SocketAddr,
    /// Ports of the links of both gateways to the others.
    pub ports: PairPorts,
    /// Delay of one way.
    pub delay: Duration,
}

#[derive(Debug)]
struct Link {
    gateway: usize,
    target: Target,
    relay: Relay,
    /// Delay of one way.
    delay: Duration,
}

/// The links before a gateway.
#[derive(Debug)]
struct Entrance {
    callers: Relay,
    ready: Relay,
    delay: Duration,
}

#[derive(Debug, Default)]
struct State {
    entrances: Vec<Entrance>,
    links: Vec<Link>,
    /// Rules that are on, by their numbers.
    rules: Vec<(u64, Rule)>,
    next_rule: u64,
}

/// All links of a play.
#[derive(Debug, Default)]
pub struct Links {
    state: Mutex<State>,
}

impl Links {
    /// Adds the links before the next gateway: `callers` and `ready` hold the address of the link and that of the gateway.
    ///
    /// # Errors
    ///
    /// Returns an error if an address can't be bound.
    pub async fn add_entrance(
        &self,
        callers: (SocketAddr, SocketAddr),
        ready: (SocketAddr, SocketAddr),
        delay: Duration,
    ) -> io::Result<()> {
        let entrance = Entrance {
            callers: Relay::start(callers.0, callers.1, Habits::default()).await?,
            ready: Relay::start(ready.0, ready.1, Habits::default()).await?,
            delay,
        };
        lock(&self.state).entrances.push(entrance);
        self.apply();
        Ok(())
    }

    /// Adds the link at `address` from a gateway to a server or the store at `to`, with the delay of one way.
    ///
    /// # Errors
    ///
    /// Returns an error if the address can't be bound.
    pub async fn add(
        &self,
        (gateway, target): (usize, Target),
        (address, to): (SocketAddr, SocketAddr),
        delay: Duration,
    ) -> io::Result<()> {
        let relay = Relay::start(address, to, Habits::default()).await?;
        self.push(Link {
            gateway,
            target,
            relay,
            delay,
        });
        Ok(())
    }

    fn push(&self, link: Link) {
        lock(&self.state).links.push(link);
        self.apply();
    }

    /// Adds a link between two gateways and returns its address.
    ///
    /// # Errors
    ///
    /// Returns an error if the address can't be bound.
    pub async fn add_peer(&self, link: PeerLink) -> io::Result<SocketAddr> {
        let habits = Habits::default();
        let relay = peer_relay::start(link.address, link.target, habits, link.ports).await?;
        let address = relay.address();
        self.push(Link {
            gateway: link.from,
            target: Target::Gateway(link.to),
            relay,
            delay: link.delay,
        });
        Ok(address)
    }

    /// Puts a rule in force and returns its number.
    pub fn put(&self, rule: Rule) -> u64 {
        let number = {
            let mut state = lock(&self.state);
            state.next_rule += 1;
            let number = state.next_rule;
            state.rules.push((number, rule.clone()));
            number
        };
        self.apply();
        if matches!(rule.effect, Effect::Reset | Effect::Answer(_)) {
            self.reset(&rule.gateways, &rule.targets, 1.0);
        }
        number
    }

    /// Ends a rule.
    pub fn remove(&self, number: u64) {
        lock(&self.state).rules.retain(|(it, _)| *it != number);
        self.apply();
    }

    /// Resets this share of the open connections of links.
    pub fn reset(&self, gateways: &[usize], targets: &[Target], share: f64) {
        let state = lock(&self.state);
        let is_meant = |gateway: usize, target: Target| {
            gateways.contains(&gateway) && targets.contains(&target)
        };
        for (number, entrance) in state.entrances.iter().enumerate() {
            if is_meant(number, Target::Callers) {
                entrance.callers.reset(share);
            }
        }
        for link in &state.links {
            let is_meant_back = match link.target {
                Target::Gateway(other) => is_meant(other, Target::Gateway(link.gateway)),
                _ => false,
            };
            if is_meant(link.gateway, link.target) || is_meant_back {
                link.relay.reset(share);
            }
        }
    }

    /// Sets the habits of all relays by the rules that are on.
    fn apply(&self) {
        let state = lock(&self.state);
        let habits = |gateway: usize, target: Target, delay: Duration| {
            let mut habits = Habits {
                delay,
                ..Habits::default()
            };
            let rules = state.rules.iter();
            rules
                .flat_map(|(_, rule)| rule.effects_on(gateway, target))
                .for_each(|effect| effect.add_to(&mut habits));
            habits
        };
        for (number, entrance) in state.entrances.iter().enumerate() {
            let usual = habits(number, Target::Callers, entrance.delay);
            entrance.ready.set_habits(usual);
            entrance.callers.set_habits(Habits {
                greeting: Some(number as u16),
                ..usual
            });
        }
        for link in &state.links {
            link.relay
                .set_habits(habits(link.gateway, link.target, link.delay));
        }
    }
}

#[cfg(test)]
mod tests;
