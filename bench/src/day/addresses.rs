//! Loopback addresses of a play, by its seed and process, so that plays side by side don't meet.

use std::net::IpAddr;
use std::net::Ipv4Addr;
use std::net::SocketAddr;

use crate::standin::peer_relay::RelayPorts;

/// First second byte of the addresses; those below belong to callers, those from 230 on to the soak.
const FIRST_BLOCK: u64 = 130;
const BLOCKS: u64 = 100;
const SERVERS_PER_BLOCK: usize = 200;
const LAST_GATEWAY: usize = 199;
const STORE: u8 = 250;
const FIRST_RELAY_PORT: u16 = 10_000;
const RELAY_PORTS: u16 = 100;
const BALANCER: u8 = 251;

/// The addresses of a play.
#[derive(Clone, Copy, Debug)]
pub struct Addresses {
    block: u8,
    process: u8,
}

impl Addresses {
    /// Returns the addresses of the play with this seed in the process that runs now.
    pub fn new(seed: u64) -> Self {
        let process = u64::from(std::process::id());
        let block = FIRST_BLOCK + (seed + process / 250) % BLOCKS;
        Self {
            block: block as u8,
            process: (process % 250) as u8,
        }
    }

    fn host(&self, number: usize) -> IpAddr {
        let last = number as u8;
        IpAddr::V4(Ipv4Addr::new(127, self.block, self.process, last))
    }

    /// Returns the address of a gateway's host.
    ///
    /// # Panics
    ///
    /// Panics if there are more gateways than addresses.
    pub fn gateway(&self, number: usize) -> IpAddr {
        assert!(number < LAST_GATEWAY, "too many gateways");
        self.host(number + 1)
    }

    /// Returns where callers reach a gateway over the link before it.
    pub fn caller_link(&self, number: usize) -> SocketAddr {
        SocketAddr::new(self.gateway(number), 8011)
    }

    /// Returns where a gateway is asked whether it is ready, over the link before it.
    pub fn ready_link(&self, number: usize) -> SocketAddr {
        SocketAddr::new(self.gateway(number), 8012)
    }

    /// Returns where a gateway listens for others.
    pub fn peers(&self, number: usize) -> SocketAddr {
        SocketAddr::new(self.gateway(number), 7340)
    }

    /// Returns the ports at which a gateway reaches others over the links between them.
    pub fn ports(&self, gateway: usize) -> RelayPorts {
        let first = FIRST_RELAY_PORT + RELAY_PORTS * gateway as u16;
        RelayPorts {
            peers: first,
            first_server: Some(first),
        }
    }

    /// Returns where the gateway `caller` reaches another one over the link between them.
    pub fn peer_link(&self, caller: usize, number: usize) -> SocketAddr {
        SocketAddr::new(self.gateway(number), self.ports(caller).peers)
    }

    /// Returns the address of a server process.
    pub fn server(&self, number: usize) -> SocketAddr {
        let port = 8100 + 10 * (number / SERVERS_PER_BLOCK) as u16;
        SocketAddr::new(self.host(1 + number % SERVERS_PER_BLOCK), port)
    }

    /// Returns where a server says that it is reached.
    pub fn server_entry(&self, number: usize) -> SocketAddr {
        let server = self.server(number);
        SocketAddr::new(server.ip(), server.port() + 1)
    }

    /// Returns where a gateway reaches a server over the link between them.
    pub fn server_link(&self, gateway: usize, number: usize) -> SocketAddr {
        let entry = self.server_entry(number);
        SocketAddr::new(entry.ip(), self.ports(gateway).server(entry.port()))
    }

    /// Returns the address of the store process.
    pub fn store(&self) -> SocketAddr {
        SocketAddr::new(self.host(usize::from(STORE)), 8223)
    }

    /// Returns where the store is set.
    pub fn store_control(&self) -> SocketAddr {
        SocketAddr::new(self.host(usize::from(STORE)), 8224)
    }

    /// Returns where the store listens for a gateway.
    pub fn store_view(&self, gateway: usize) -> SocketAddr {
        SocketAddr::new(self.host(usize::from(STORE)), 8300 + gateway as u16)
    }

    /// Returns where a gateway reaches the store over the link before it.
    pub fn store_link(&self, gateway: usize) -> SocketAddr {
        SocketAddr::new(self.host(usize::from(STORE)), 8600 + gateway as u16)
    }

    /// Returns where callers of a data centre reach the balancer.
    pub fn balancer(&self, place: usize) -> SocketAddr {
        SocketAddr::new(self.host(usize::from(BALANCER)), 8000 + place as u16)
    }
}
