//! Tests of the links between gateways over loopback.

use std::net::IpAddr;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;

use super::Effect;
use super::Links;
use super::PeerLink;
use super::Rule;
use super::Target;
use crate::standin::peer_relay::PairPorts;
use crate::standin::peer_relay::RelayPorts;
use crate::standin::relay::Direction;

const GATEWAYS: usize = 3;
/// Time after which a byte that hasn't come is held.
const HELD: Duration = Duration::from_millis(150);
/// The end of a head, after which the links pass on bytes that are no whole frame.
const HELLO: &[u8] = b"\r\n\r\n";

/// Ports that no entry of these tests has.
const PORTS: RelayPorts = RelayPorts {
    peers: 1,
    first_server: None,
};

/// Three gateways that only listen, with the links between them.
struct Peers {
    links: Links,
    listeners: Vec<TcpListener>,
    addresses: Vec<(usize, usize, SocketAddr)>,
}

/// Which of the two ends of a connection gets what the other one sends.
#[derive(Debug, Eq, PartialEq)]
struct Passed {
    to_target: bool,
    to_caller: bool,
}

const BOTH: Passed = Passed {
    to_target: true,
    to_caller: true,
};

async fn peers() -> Peers {
    let host = IpAddr::V4(Ipv4Addr::LOCALHOST);
    let links = Links::default();
    let mut listeners = Vec::new();
    for _ in 0..GATEWAYS {
        listeners.push(TcpListener::bind((host, 0)).await.unwrap());
    }
    let mut addresses = Vec::new();
    for from in 0..GATEWAYS {
        for to in (0..GATEWAYS).filter(|to| *to != from) {
            let link = PeerLink {
                from,
                to,
                address: (host, 0).into(),
                target: listeners[to].local_addr().unwrap(),
                ports: PairPorts {
                    caller: PORTS,
                    target: PORTS,
                },
                delay: Duration::ZERO,
            };
            addresses.push((from, to, links.add_peer(link).await.unwrap()));
        }
    }
    Peers {
        links,
        listeners,
        addresses,
    }
}

async fn arrives(stream: &mut TcpStream) -> bool {
    let mut buf = [0; HELLO.len()];
    let reading = tokio::time::timeout(HELD, stream.read_exact(&mut buf)).await;
    reading.is_ok_and(|read| read.is_ok())
}

impl Peers {
    /// Opens a connection over the link between two gateways; returns both ends.
    async fn connect(&self, from: usize, to: usize) -> (TcpStream, TcpStream) {
        let mut links = self.addresses.iter();
        let link = links.find(|link| (link.0, link.1) == (from, to)).unwrap();
        let caller = TcpStream::connect(link.2).await.unwrap();
        let (target, _) = self.listeners[to].accept().await.unwrap();
        (caller, target)
    }

    /// Returns what passes on a connection that was opened before `rule` came into force.
    async fn passed(&self, (from, to): (usize, usize), rule: &Rule) -> Passed {
        let (mut caller, mut target) = self.connect(from, to).await;
        let number = self.links.put(rule.clone());
        caller.write_all(HELLO).await.unwrap();
        target.write_all(HELLO).await.unwrap();
        let passed = Passed {
            to_target: arrives(&mut target).await,
            to_caller: arrives(&mut caller).await,
        };
        self.links.remove(number);
        passed
    }
}

fn cut(gateways: &[usize], others: &[usize], effect: Effect) -> Rule {
    Rule {
        gateways: gateways.to_vec(),
        targets: others.iter().map(|it| Target::Gateway(*it)).collect(),
        effect,
    }
}

#[tokio::test]
async fn a_pair_of_gateways_is_cut_in_one_direction() {
    let peers = peers().await;
    let rule = cut(&[0], &[1], Effect::Blocked(Direction::Back));

    let there = peers.passed((0, 1), &rule).await;
    let back = peers.passed((1, 0), &rule).await;

    // The first gateway hears nothing of the second one, whichever of both connected.
    let to_second = Passed {
        to_target: true,
        to_caller: false,
    };
    let to_second_back = Passed {
        to_target: false,
        to_caller: true,
    };
    assert_eq!((there, back), (to_second, to_second_back));
    for pair in [(0, 2), (2, 0), (1, 2), (2, 1)] {
        assert_eq!(peers.passed(pair, &rule).await, BOTH, "{pair:?}");
    }
}

#[tokio::test]
async fn a_pair_of_gateways_is_cut_in_both_directions() {
    let peers = peers().await;
    let neither = || Passed {
        to_target: false,
        to_caller: false,
    };
    let deaf = Effect::Blocked(Direction::Back);
    for rule in [
        cut(&[0], &[1], Effect::Silent),
        // Both hear nothing.
        cut(&[0, 1], &[0, 1], deaf),
    ] {
        assert_eq!(peers.passed((0, 1), &rule).await, neither());
        assert_eq!(peers.passed((1, 0), &rule).await, neither());
        assert_eq!(peers.passed((0, 2), &rule).await, BOTH);
        assert_eq!(peers.passed((2, 1), &rule).await, BOTH);
    }
}

#[tokio::test]
async fn connections_between_a_pair_of_gateways_are_reset() {
    let peers = peers().await;
    let (mut caller, _target) = peers.connect(1, 0).await;
    let (mut other, mut other_target) = peers.connect(2, 0).await;

    peers.links.put(cut(&[0], &[1], Effect::Reset));

    assert!(caller.read_u8().await.is_err());
    other_target.write_all(HELLO).await.unwrap();
    assert!(arrives(&mut other).await);
}
