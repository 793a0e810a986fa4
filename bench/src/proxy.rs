//! A TCP proxy for all links of a run, which counts the bytes and injects faults.
//!
//! The proxy identifies the connecting side by its source IP and the other side by the name of the link. A fault of
//! one direction holds bytes back and delivers them once the fault is cleared: TCP retransmits lost packets, so that
//! an outage on a real network delays bytes rather than losing them.

mod conn;
mod pump;
mod response_swap;

#[cfg(test)]
mod tests;

use std::io;
use std::net::IpAddr;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering::Relaxed;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::task::JoinHandle;

use crate::proxy::conn::Conn;
use crate::proxy::response_swap::ResponseSwap;
use crate::truth::lock;

/// Zone of a source without a name.
const NO_ZONE: &str = "";

/// A fault on the connections that `from` opens to `to`.
#[derive(Clone, Debug)]
pub struct Rule {
    /// The side that connects.
    pub from: Selector,
    /// The side that it connects to.
    pub to: Selector,
    /// The fault that is injected.
    pub fault: Fault,
}

/// Selects sides of connections by name or zone.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Selector {
    /// All sides.
    Any,
    /// The side with this name.
    Name(String),
    /// All sides in this zone.
    Zone(String),
}

impl Selector {
    fn matches_zone(&self, name: &str) -> bool {
        match self {
            Selector::Any => true,
            Selector::Zone(zone) => zone == name,
            Selector::Name(_) => false,
        }
    }
}

/// A fault of connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// New connections are refused: accepted and reset at once.
    Refuse,
    /// Bytes are delayed by this time in each direction.
    Delay(Duration),
    /// Open connections are reset and new ones are refused.
    Cut,
    /// Connections that are open when the rule is set stay open and drop all bytes from then on, even after the rule is
    /// cleared; new connections work.
    SilentOpen,
    /// Bytes of both directions are held until the rule is cleared.
    SilentAll,
    /// Bytes from the connecting side are held until the rule is cleared.
    HoldForward,
    /// Bytes to the connecting side are held until the rule is cleared.
    HoldBack,
    /// Swaps HTTP/1.1 responses between two connections to the same target.
    SwapResponses,
}

/// Identifies a rule that was set.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RuleId(u64);

/// One side of a connection.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Side {
    pub name: String,
    pub zone: String,
}

/// Number of bytes sent from one name to another.
#[derive(Debug)]
struct ByteCounter {
    from: String,
    to: String,
    bytes: Arc<AtomicU64>,
}

/// A TCP proxy with faults; see the module documentation.
#[derive(Debug)]
pub struct Proxy {
    inner: Mutex<Inner>,
    /// Incremented at each change of the rules.
    generation: watch::Sender<u64>,
    response_swap: ResponseSwap,
}

#[derive(Debug, Default)]
struct Inner {
    next_rule: u64,
    rules: Vec<(RuleId, Rule)>,
    sources: Vec<(IpAddr, Side)>,
    targets: Vec<(String, SocketAddr)>,
    counters: Vec<ByteCounter>,
    conns: Vec<Arc<Conn>>,
    listeners: Vec<JoinHandle<()>>,
}

impl Proxy {
    /// Creates a proxy without links.
    pub fn new() -> Arc<Proxy> {
        Arc::new(Proxy {
            inner: Mutex::new(Inner::default()),
            generation: watch::channel(0).0,
            response_swap: ResponseSwap::default(),
        })
    }

    /// Opens a link to `target` and returns the address to connect to instead.
    ///
    /// # Errors
    ///
    /// Returns an error if no port can be bound.
    pub async fn link(
        self: &Arc<Self>,
        to_name: &str,
        to_zone: &str,
        target: SocketAddr,
    ) -> io::Result<SocketAddr> {
        let listener = TcpListener::bind(("127.0.0.1", 0)).await?;
        let address = listener.local_addr()?;
        self.retarget(to_name, target);
        let to = Side::new(to_name, to_zone);
        let task = tokio::spawn(accept(self.clone(), listener, to));
        lock(&self.inner).listeners.push(task);
        Ok(address)
    }

    /// Directs the new connections of a link to another address.
    pub fn retarget(&self, to_name: &str, target: SocketAddr) {
        let mut inner = lock(&self.inner);
        let targets = &mut inner.targets;
        match targets.binary_search_by(|(name, _)| name.as_str().cmp(to_name)) {
            Ok(i) => targets[i].1 = target,
            Err(i) => targets.insert(i, (to_name.to_owned(), target)),
        }
    }

    /// Sets name and zone of a source IP. A source without a name is known by its IP and has no zone.
    pub fn name_source(&self, ip: IpAddr, name: &str, zone: &str) {
        let mut inner = lock(&self.inner);
        let side = Side::new(name, zone);
        let sources = &mut inner.sources;
        match sources.binary_search_by_key(&ip, |(ip, _)| *ip) {
            Ok(i) => sources[i].1 = side,
            Err(i) => sources.insert(i, (ip, side)),
        }
    }

    /// Sets a rule; it applies to open connections too.
    pub fn set_rule(&self, rule: Rule) -> RuleId {
        let id = {
            let mut inner = lock(&self.inner);
            let id = RuleId(inner.next_rule);
            inner.next_rule += 1;
            for conn in inner.conns.iter().filter(|conn| rule.applies_to(conn)) {
                match rule.fault {
                    Fault::Cut => conn.reset(),
                    Fault::SilentOpen => conn.set_silent(),
                    _ => {}
                }
            }
            inner.rules.push((id, rule));
            id
        };
        self.generation.send_modify(|n| *n += 1);
        id
    }

    /// Clears a rule. Connections that [`Fault::Cut`] reset or [`Fault::SilentOpen`] made silent are not restored.
    pub fn clear_rule(&self, id: RuleId) {
        lock(&self.inner).rules.retain(|(other, _)| *other != id);
        self.generation.send_modify(|n| *n += 1);
    }

    /// Returns whether a rule, with any fault, is set for all connections from zone `from` to zone `to`.
    pub fn has_rule_between(&self, from: &str, to: &str) -> bool {
        let inner = lock(&self.inner);
        let mut rules = inner.rules.iter();
        rules.any(|(_, rule)| rule.from.matches_zone(from) && rule.to.matches_zone(to))
    }

    /// Clears all rules.
    pub fn clear(&self) {
        lock(&self.inner).rules.clear();
        self.generation.send_modify(|n| *n += 1);
    }

    /// Returns the number of bytes that `from` has sent to `to`, whichever of the two opened the connection.
    pub fn bytes(&self, from: &str, to: &str) -> u64 {
        let inner = lock(&self.inner);
        let found = find_counter(&inner.counters, from, to);
        found.map_or(0, |i| inner.counters[i].bytes.load(Relaxed))
    }

    /// Stops listening and resets all connections.
    pub async fn close(&self) {
        let (listeners, conns) = {
            let mut inner = lock(&self.inner);
            let listeners = std::mem::take(&mut inner.listeners);
            (listeners, std::mem::take(&mut inner.conns))
        };
        for listener in listeners {
            listener.abort();
            // The result is the cancellation by `abort`.
            let _ = listener.await;
        }
        for conn in conns {
            conn.reset();
        }
    }

    /// Returns the faults of all rules that apply to a connection.
    fn faults(&self, conn: &Conn) -> Vec<Fault> {
        let inner = lock(&self.inner);
        let rules = inner.rules.iter().filter(|(_, rule)| rule.applies_to(conn));
        rules.map(|(_, rule)| rule.fault).collect()
    }

    /// Registers a new connection and returns it with its target address; `None` if it is refused.
    fn register(&self, ip: IpAddr, to: &Side) -> Option<(Arc<Conn>, SocketAddr)> {
        let mut inner = lock(&self.inner);
        let from = inner.find_source(ip);
        let sent = inner.counter(&from.name, &to.name);
        let received = inner.counter(&to.name, &from.name);
        let conn = Arc::new(Conn::new(from, to.clone(), sent, received));
        let refused = inner.rules.iter().any(|(_, rule)| {
            matches!(rule.fault, Fault::Refuse | Fault::Cut) && rule.applies_to(&conn)
        });
        let i = inner
            .targets
            .binary_search_by(|(name, _)| name.cmp(&to.name));
        let target = inner.targets[i.ok()?].1;
        if refused {
            return None;
        }
        inner.conns.push(conn.clone());
        Some((conn, target))
    }

    fn unregister(&self, conn: &Arc<Conn>) {
        lock(&self.inner)
            .conns
            .retain(|other| !Arc::ptr_eq(other, conn));
    }
}

impl Inner {
    fn find_source(&self, ip: IpAddr) -> Side {
        match self.sources.binary_search_by_key(&ip, |(ip, _)| *ip) {
            Ok(i) => self.sources[i].1.clone(),
            Err(_) => Side::new(&ip.to_string(), NO_ZONE),
        }
    }

    /// Returns the counter of the bytes from one name to another; creates it if it is missing.
    fn counter(&mut self, from: &str, to: &str) -> Arc<AtomicU64> {
        let i = find_counter(&self.counters, from, to).unwrap_or_else(|i| {
            let counter = ByteCounter {
                from: from.to_owned(),
                to: to.to_owned(),
                bytes: Arc::default(),
            };
            self.counters.insert(i, counter);
            i
        });
        self.counters[i].bytes.clone()
    }
}

impl Side {
    fn new(name: &str, zone: &str) -> Side {
        Side {
            name: name.to_owned(),
            zone: zone.to_owned(),
        }
    }
}

impl Rule {
    fn applies_to(&self, conn: &Conn) -> bool {
        self.from.matches(&conn.from) && self.to.matches(&conn.to)
    }
}

impl Selector {
    fn matches(&self, side: &Side) -> bool {
        match self {
            Selector::Any => true,
            Selector::Name(name) => side.name == *name,
            Selector::Zone(zone) => side.zone == *zone,
        }
    }
}

fn find_counter(counters: &[ByteCounter], from: &str, to: &str) -> Result<usize, usize> {
    counters.binary_search_by(|counter| {
        let key = (counter.from.as_str(), counter.to.as_str());
        key.cmp(&(from, to))
    })
}

async fn accept(proxy: Arc<Proxy>, listener: TcpListener, to: Side) {
    loop {
        // An accept error concerns a single connection or is temporary.
        let Ok((client, peer)) = listener.accept().await else {
            continue;
        };
        match proxy.register(peer.ip(), &to) {
            Some((conn, target)) => {
                tokio::spawn(forward_connection(proxy.clone(), conn, client, target));
            }
            None => reset(&client),
        }
    }
}

/// Connects to the target and copies bytes until both directions have ended or the connection is reset.
async fn forward_connection(
    proxy: Arc<Proxy>,
    conn: Arc<Conn>,
    client: TcpStream,
    target: SocketAddr,
) {
    match TcpStream::connect(target).await {
        Ok(server) => pump::run_connection(&proxy, &conn, client, server).await,
        Err(_) => reset(&client),
    }
    proxy.unregister(&conn);
}

/// Makes closing the connection send a reset (RST).
fn reset(stream: &TcpStream) {
    // Fails only if the connection is closed already.
    let _ = stream.set_zero_linger();
}
