//! Clients of the platform's log service and host list.

use super::CtlError;
use super::args::usage_error;
use crate::border::HostListSource;
use crate::border::HttpHostList;
use crate::border::HttpLog;
use crate::border::LogService;
use crate::membership::View;
use crate::net::Client;
use crate::net::ClientOptions;
use crate::operations::Metrics;
use pico_args::Arguments;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// Maximum time to wait for a response of the platform.
const TIMEOUT: Duration = Duration::from_secs(5);

/// Creates a client of the log service at `address`.
pub(super) fn log_service(address: SocketAddr) -> Arc<dyn LogService> {
    let client = Client::new(&ClientOptions::default());
    Arc::new(HttpLog::new(
        client,
        address,
        TIMEOUT,
        Arc::new(Metrics::new()),
    ))
}

/// Parses the option with the address of the log service.
pub(super) fn log_address(args: &mut Arguments) -> Result<SocketAddr, CtlError> {
    args.value_from_str("--log").map_err(usage_error)
}

/// Parses the option with the address of the host list.
pub(super) fn hosts_address(args: &mut Arguments) -> Result<SocketAddr, CtlError> {
    args.value_from_str("--hosts").map_err(usage_error)
}

/// Fetches the host list from `address` and returns the view of its hosts.
pub(super) async fn view(address: SocketAddr) -> Result<View, CtlError> {
    let client = Client::new(&ClientOptions::default());
    let hosts = HttpHostList::new(client, address, TIMEOUT, Arc::new(Metrics::new()));
    let list = hosts.hosts(None).await.map_err(CtlError::Hosts)?;
    let hosts = list.map_or(Vec::new(), |list| list.hosts);
    Ok(View::from_hosts(&hosts))
}
