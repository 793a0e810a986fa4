//! A TCP proxy for all links of a run, which carries, counts and harms what goes over them.
//!
//! The side that connects is known by its source IP, the other side by the name of the link. Faults of a direction
//! hold bytes back while they last and let them go when they are cleared, as a network with retransmission does.

mod conn;
mod exchange;
mod pump;

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
use crate::proxy::exchange::Exchange;
use crate::truth::lock;

/// Zone of sources and links that have none.
const NO_ZONE: &str = "";

/// A fault on the connections that `from` opens to `to`.
#[derive(Clone, Debug)]
pub struct Rule {
    /// The side that connects.
    pub from: Selector,
    /// The side that it connects to.
    pub to: Selector,
    /// What happens to the connections.
    pub fault: Fault,
}

/// Selects sides of connections.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Selector {
    /// All.
    Any,
    /// The one of a name.
    Name(String),
    /// Those of a zone.
    Zone(String),
}

impl Selector {
    fn is_zone(&self, name: &str) -> bool {
        match self {
            Selector::Any => true,
            Selector::Zone(zone) => zone == name,
            Selector::Name(_) => false,
        }
    }
}

/// What happens to connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// New connections are refused.
    Refuse,
    /// Bytes arrive later, by this time in each direction.
    Delay(Duration),
    /// Open connections are reset and new ones refused.
    Cut,
    /// Connections that are open now carry no bytes any more, for good, and stay open; new ones work.
    SilentOpen,
    /// No connection carries bytes; held bytes go on when the rule is cleared.
    SilentAll,
    /// Bytes from the connecting side are held until the rule is cleared.
    HoldForward,
    /// Bytes to the connecting side are held until the rule is cleared.
    HoldBack,
    /// Two HTTP/1.1 answers of connections to one target change places.
    SwapResponses,
}

/// Names a rule that is set.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RuleId(u64);

/// One side of a connection.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Side {
    pub name: String,
    pub zone: String,
}

/// Bytes that went from one name to another.
#[derive(Debug)]
struct Count {
    from: String,
    to: String,
    bytes: Arc<AtomicU64>,
}

/// The proxy.
#[derive(Debug)]
pub struct Proxy {
    inner: Mutex<Inner>,
    /// Grows with each change of the rules.
    generation: watch::Sender<u64>,
    exchange: Exchange,
}

#[derive(Debug, Default)]
struct Inner {
    next_rule: u64,
    rules: Vec<(RuleId, Rule)>,
    sources: Vec<(IpAddr, Side)>,
    targets: Vec<(String, SocketAddr)>,
    counts: Vec<Count>,
    conns: Vec<Arc<Conn>>,
    listeners: Vec<JoinHandle<()>>,
}

impl Proxy {
    /// A proxy without links.
    pub fn new() -> Arc<Proxy> {
        Arc::new(Proxy {
            inner: Mutex::new(Inner::default()),
            generation: watch::channel(0).0,
            exchange: Exchange::default(),
        })
    }

    /// Opens a link to `target` and gives the address to connect to instead.
    ///
    /// # Errors
    ///
    /// Where no port can be bound.
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

    /// Sends the new connections of a link to another address.
    pub fn retarget(&self, to_name: &str, target: SocketAddr) {
        let mut inner = lock(&self.inner);
        let targets = &mut inner.targets;
        match targets.binary_search_by(|(name, _)| name.as_str().cmp(to_name)) {
            Ok(i) => targets[i].1 = target,
            Err(i) => targets.insert(i, (to_name.to_owned(), target)),
        }
    }

    /// Names what connects from a source IP; one without a name goes by its IP and has no zone.
    pub fn name_source(&self, ip: IpAddr, name: &str, zone: &str) {
        let mut inner = lock(&self.inner);
        let side = Side::new(name, zone);
        let sources = &mut inner.sources;
        match sources.binary_search_by_key(&ip, |(ip, _)| *ip) {
            Ok(i) => sources[i].1 = side,
            Err(i) => sources.insert(i, (ip, side)),
        }
    }

    /// Sets a rule, on open connections too.
    pub fn set_rule(&self, rule: Rule) -> RuleId {
        let id = {
            let mut inner = lock(&self.inner);
            let id = RuleId(inner.next_rule);
            inner.next_rule += 1;
            for conn in inner.conns.iter().filter(|conn| rule.hits(conn)) {
                match rule.fault {
                    Fault::Cut => conn.cut(),
                    Fault::SilentOpen => conn.silence(),
                    _ => {}
                }
            }
            inner.rules.push((id, rule));
            id
        };
        self.generation.send_modify(|n| *n += 1);
        id
    }

    /// Clears one rule. What it did for good stays: reset connections, and those that fell silent.
    pub fn clear_rule(&self, id: RuleId) {
        lock(&self.inner).rules.retain(|(other, _)| *other != id);
        self.generation.send_modify(|n| *n += 1);
    }

    /// Tells whether a rule stands between what is in `from` and what is in `to`, whatever its fault.
    pub fn has_rule_between(&self, from: &str, to: &str) -> bool {
        let inner = lock(&self.inner);
        let mut rules = inner.rules.iter();
        rules.any(|(_, rule)| rule.from.is_zone(from) && rule.to.is_zone(to))
    }

    /// Clears all rules.
    pub fn clear(&self) {
        lock(&self.inner).rules.clear();
        self.generation.send_modify(|n| *n += 1);
    }

    /// Bytes that `from` has sent to `to`, over connections of either's opening.
    pub fn bytes(&self, from: &str, to: &str) -> u64 {
        let inner = lock(&self.inner);
        let found = find_count(&inner.counts, from, to);
        found.map_or(0, |i| inner.counts[i].bytes.load(Relaxed))
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
            // It was aborted just now.
            let _ = listener.await;
        }
        for conn in conns {
            conn.cut();
        }
    }

    /// The faults that are in force for a connection.
    fn faults(&self, conn: &Conn) -> Vec<Fault> {
        let inner = lock(&self.inner);
        let rules = inner.rules.iter().filter(|(_, rule)| rule.hits(conn));
        rules.map(|(_, rule)| rule.fault).collect()
    }

    /// Registers a new connection; `None` where it is refused.
    fn open(&self, ip: IpAddr, to: &Side) -> Option<(Arc<Conn>, SocketAddr)> {
        let mut inner = lock(&self.inner);
        let from = inner.source(ip);
        let sent = inner.count(&from.name, &to.name);
        let received = inner.count(&to.name, &from.name);
        let conn = Arc::new(Conn::new(from, to.clone(), sent, received));
        let refused = inner
            .rules
            .iter()
            .any(|(_, rule)| matches!(rule.fault, Fault::Refuse | Fault::Cut) && rule.hits(&conn));
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

    fn forget(&self, conn: &Arc<Conn>) {
        lock(&self.inner)
            .conns
            .retain(|other| !Arc::ptr_eq(other, conn));
    }
}

impl Inner {
    fn source(&self, ip: IpAddr) -> Side {
        match self.sources.binary_search_by_key(&ip, |(ip, _)| *ip) {
            Ok(i) => self.sources[i].1.clone(),
            Err(_) => Side::new(&ip.to_string(), NO_ZONE),
        }
    }

    fn count(&mut self, from: &str, to: &str) -> Arc<AtomicU64> {
        let i = find_count(&self.counts, from, to).unwrap_or_else(|i| {
            let count = Count {
                from: from.to_owned(),
                to: to.to_owned(),
                bytes: Arc::default(),
            };
            self.counts.insert(i, count);
            i
        });
        self.counts[i].bytes.clone()
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
    fn hits(&self, conn: &Conn) -> bool {
        self.from.selects(&conn.from) && self.to.selects(&conn.to)
    }
}

impl Selector {
    fn selects(&self, side: &Side) -> bool {
        match self {
            Selector::Any => true,
            Selector::Name(name) => side.name == *name,
            Selector::Zone(zone) => side.zone == *zone,
        }
    }
}

fn find_count(counts: &[Count], from: &str, to: &str) -> Result<usize, usize> {
    counts.binary_search_by(|count| {
        let key = (count.from.as_str(), count.to.as_str());
        key.cmp(&(from, to))
    })
}

async fn accept(proxy: Arc<Proxy>, listener: TcpListener, to: Side) {
    loop {
        // An accept error is one of a single connection, or passes.
        let Ok((client, peer)) = listener.accept().await else {
            continue;
        };
        match proxy.open(peer.ip(), &to) {
            Some((conn, target)) => {
                tokio::spawn(carry(proxy.clone(), conn, client, target));
            }
            None => reset(&client),
        }
    }
}

/// Carries one connection until both directions have ended, or it is cut.
async fn carry(proxy: Arc<Proxy>, conn: Arc<Conn>, client: TcpStream, target: SocketAddr) {
    match TcpStream::connect(target).await {
        Ok(server) => pump::carry(&proxy, &conn, client, server).await,
        Err(_) => reset(&client),
    }
    proxy.forget(&conn);
}

/// Makes the closing of a connection a reset.
fn reset(stream: &TcpStream) {
    // Where it fails the connection is gone already.
    let _ = stream.set_zero_linger();
}
