//! The links of a play: a relay before each gateway for callers, before each server and before the store, and the rules of the
//! troubles that are on.
//!
//! Servers and the store tell gateways apart by the addresses that these connect from. Links between gateways have no relays, as a
//! gateway tells the others the address that it listens on itself.

use std::io;
use std::net::IpAddr;
use std::net::SocketAddr;
use std::sync::Mutex;
use std::time::Duration;

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
}

/// What a rule does to links.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Effect {
    /// Bytes are held, and delivered when the rule ends.
    Silent,
    /// Bytes of one direction are held.
    Blocked(Direction),
    /// Connections are reset, new ones too.
    Reset,
    /// New connections get this status; open ones are reset.
    Answer(u16),
    /// All bytes are delayed by this time more.
    Delay(Duration),
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
    }

    /// Sets the habits of all relays by the rules that are on.
    fn apply(&self) {
        let state = lock(&self.state);
        let habits = |gateway: usize, target: Target, delay: Duration| {
            let meant =
                state.rules.iter().map(|(_, rule)| rule).filter(|rule| {
                    rule.gateways.contains(&gateway) && rule.targets.contains(&target)
                });
            let mut habits = Habits {
                delay,
                ..Habits::default()
            };
            for rule in meant {
                match rule.effect {
                    Effect::Silent => habits.is_silent = true,
                    Effect::Blocked(direction) => habits.blocked = Some(direction),
                    Effect::Reset => habits.gate = Gate::Reset,
                    Effect::Answer(status) => habits.gate = Gate::Answer(status),
                    Effect::Delay(more) => habits.delay += more,
                }
            }
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
    }
}
