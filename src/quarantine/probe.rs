//! Finds out whether a server that broke off requests has crashed.

use super::state::Quarantine;
use crate::catalog::BackendServer;
use crate::clock::BootInstant;
use crate::decide::Crash;
use crate::decide::Suspect;
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::TcpStream;

/// Timeout for the connection to a server that may have crashed. A server that can't be reached in this time may as well
/// be cut off, so it doesn't count as crashed.
const PROBE_TIMEOUT: Duration = Duration::from_millis(250);

impl Quarantine {
    /// Records `suspect`, which broke off before `server` had begun to answer it, if the server has crashed. Returns
    /// whether it has.
    pub async fn report_break(&self, server: &BackendServer, suspect: Suspect) -> bool {
        let at = BootInstant::now();
        let has_crashed = is_refused(server.entry.address).await;
        if has_crashed {
            self.record_crash(Crash {
                server: server.id.clone(),
                start_time_ms: server.entry.start_time_ms,
                at,
                suspects: vec![suspect],
            });
        }
        has_crashed
    }
}

/// Returns whether nothing listens at `address` any more. A server that only reset a connection still listens.
async fn is_refused(address: SocketAddr) -> bool {
    let connecting = TcpStream::connect(address);
    match tokio::time::timeout(PROBE_TIMEOUT, connecting).await {
        Ok(Err(err)) => err.kind() == ErrorKind::ConnectionRefused,
        Ok(Ok(_)) | Err(_) => false,
    }
}
