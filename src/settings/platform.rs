//! Section `[platform]`: access to the platform's services.

use super::Section;
use std::net::IpAddr;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::time::Duration;

/// Description of the accepted addresses.
const ADDRESS_FORMAT: &str = "an IP address and port, such as 10.0.0.7:8080";

/// Addresses of the platform's services, and the intervals and timeouts of requests to them.
#[derive(Clone, Debug)]
pub struct PlatformSettings {
    /// Address of the log service.
    pub log_address: SocketAddr,
    /// Address of the host list.
    pub host_list_address: SocketAddr,
    /// Interval between two requests for the host list.
    pub host_list_interval: Duration,
    /// Maximum time to wait for a response of the platform.
    pub timeout: Duration,
}

impl PlatformSettings {
    pub(super) fn read(section: &mut Section<'_>) -> Self {
        let unspecified_address = SocketAddr::new(IpAddr::V4(Ipv4Addr::UNSPECIFIED), 0);
        Self {
            log_address: section.required("log_address", unspecified_address, ADDRESS_FORMAT),
            host_list_address: section.required(
                "host_list_address",
                unspecified_address,
                ADDRESS_FORMAT,
            ),
            host_list_interval: section.millis("host_list_interval_ms", 1_000, 50..=60_000),
            timeout: section.millis("timeout_ms", 2_000, 50..=60_000),
        }
    }
}
