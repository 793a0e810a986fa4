//! Selection of free ports for the nodes.
//!
//! The ports are below the range that the system uses for outgoing connections (ephemeral ports). Otherwise an outgoing
//! connection could occupy a node's port while the node is down, and the node could not be restarted.

use std::io;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;

/// First port of the range.
const FIRST_PORT: u32 = 20_000;
/// Number of ports in the range.
const PORT_COUNT: u32 = 12_000;
/// Distance between the first ports of processes with consecutive ids, so that runs at the same time rarely collide.
const PORTS_PER_PROCESS: u32 = 40;

/// Number of ports that this process has tried so far.
static TRIED_PORTS: AtomicU32 = AtomicU32::new(0);

/// Returns a loopback address with a free port that this function has not returned before in this process.
///
/// # Errors
///
/// Returns `AddrInUse` if all ports of the range are in use.
pub fn free() -> io::Result<SocketAddr> {
    for _ in 0..PORT_COUNT {
        let offset = std::process::id()
            .wrapping_mul(PORTS_PER_PROCESS)
            .wrapping_add(TRIED_PORTS.fetch_add(1, Ordering::Relaxed));
        let port = u16::try_from(FIRST_PORT + offset % PORT_COUNT).unwrap_or(u16::MAX);
        let address = SocketAddr::from((Ipv4Addr::LOCALHOST, port));
        if TcpListener::bind(address).is_ok() {
            return Ok(address);
        }
    }
    Err(io::Error::from(io::ErrorKind::AddrInUse))
}
