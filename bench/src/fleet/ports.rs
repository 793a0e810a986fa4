//! Free ports for the nodes. They are taken below the ports that the system gives to outgoing connections, so that a
//! node that starts again finds its own port still free.

use std::io;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;

/// First port that may be taken.
const FIRST: u32 = 20_000;
/// Count of ports that may be taken.
const COUNT: u32 = 12_000;
/// Ports that processes of neighbouring ids lie apart.
const STRIDE: u32 = 40;

static TAKEN: AtomicU32 = AtomicU32::new(0);

/// Finds a free port of loopback that this process has not taken yet.
///
/// # Errors
///
/// All ports may be in use.
pub fn free() -> io::Result<SocketAddr> {
    for _ in 0..COUNT {
        let offset = std::process::id()
            .wrapping_mul(STRIDE)
            .wrapping_add(TAKEN.fetch_add(1, Ordering::Relaxed));
        let port = u16::try_from(FIRST + offset % COUNT).unwrap_or(u16::MAX);
        let address = SocketAddr::from((Ipv4Addr::LOCALHOST, port));
        if TcpListener::bind(address).is_ok() {
            return Ok(address);
        }
    }
    Err(io::Error::from(io::ErrorKind::AddrInUse))
}
