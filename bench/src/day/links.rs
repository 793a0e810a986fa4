//! The links of a play: a relay before each gateway for callers, before each server, between each gateway and the store and for
//! each ordered pair of gateways, and the rules of the troubles that are on.
//!
//! Relays tell gateways apart by the addresses that these connect from, and those between gateways by their ports.

use std::io;
use std::net::IpAddr;
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
    target: Target,
    relay: Relay,
    /// Delay of one way towards each gateway.
    delays: Vec<Duration>,
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
    peers: Vec<(PeerLink, Relay)>,
    /// Rules that are on, by their numbers.
    rules: Vec<(u64, Rule)>,
    next_rule: u64,
}

/// All links of a play.
#[derive(Debug)]
pub struct Links {
    /// Address of each gateway.
    gateways: Vec<IpAddr>,
    state: Mutex<State>,
}

impl Links {
    /// Returns the links of gateways that connect from these addresses; there are none yet.
    pub fn new(gateways: Vec<IpAddr>) -> Self {
        Self {
            gateways,
            state: Mutex::default(),
        }
    }

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

    /// Adds the link at `address` to a server or the store at `to`. `delays` holds that of one way towards each gateway.
    ///
    /// # Errors
    ///
    /// Returns an error if the address can't be bound.
    pub async fn add(
        &self,
        target: Target,
        (address, to): (SocketAddr, SocketAddr),
        delays: Vec<Duration>,
    ) -> io::Result<()> {
        let relay = Relay::start(address, to, Habits::default()).await?;
        lock(&self.state).links.push(Link {
            target,
            relay,
            delays,
        });
        self.apply();
        Ok(())
    }

    /// Adds a link between two gateways and returns its address.
    ///
    /// # Errors
    ///
    /// Returns an error if the address can't be bound.
    pub async fn add_peer(&self, link: PeerLink) -> io::Result<SocketAddr> {
        let habits = Habits {
            delay: link.delay,
            ..Habits::default()
        };
        let relay = peer_relay::start(link.address, link.target, habits, link.ports).await?;
        let address = relay.address();
        lock(&self.state).peers.push((link, relay));
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
        for gateway in gateways {
            if targets.contains(&Target::Callers) {
                state.entrances[*gateway].callers.reset(None, share);
            }
            for link in &state.links {
                if targets.contains(&link.target) {
                    link.relay.reset(Some(self.gateways[*gateway]), share);
                }
            }
        }
        let is_meant = |one: usize, other: usize| {
            gateways.contains(&one) && targets.contains(&Target::Gateway(other))
        };
        for (link, relay) in &state.peers {
            if is_meant(link.from, link.to) || is_meant(link.to, link.from) {
                relay.reset(None, share);
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
            for (number, gateway) in self.gateways.iter().enumerate() {
                let usual = habits(number, link.target, link.delays[number]);
                link.relay.set_habits_towards(*gateway, usual);
            }
        }
        for (link, relay) in &state.peers {
            relay.set_habits(habits(link.from, Target::Gateway(link.to), link.delay));
        }
    }
}

#[cfg(test)]
mod tests;
