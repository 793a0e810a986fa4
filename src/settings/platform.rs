//! Section `[platform]`: where the platform's services are.

use super::Section;
use std::net::IpAddr;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::time::Duration;

const ADDRESS: &str = "an IP address and port, such as 10.0.0.7:8080";

/// Where the platform's services are and how often they are asked.
#[derive(Clone, Debug)]
pub struct PlatformSettings {
    /// The log service.
    pub log_address: SocketAddr,
    /// The host list.
    pub host_list_address: SocketAddr,
    /// Time between two looks at the host list.
    pub host_list_interval: Duration,
    /// Longest wait for an answer of the platform.
    pub timeout: Duration,
}

impl PlatformSettings {
    pub(super) fn read(section: &mut Section<'_>) -> Self {
        let nowhere = SocketAddr::new(IpAddr::V4(Ipv4Addr::UNSPECIFIED), 0);
        Self {
            log_address: section.required("log_address", nowhere, ADDRESS),
            host_list_address: section.required("host_list_address", nowhere, ADDRESS),
            host_list_interval: section.millis("host_list_interval_ms", 1_000, 50..=60_000),
            timeout: section.millis("timeout_ms", 2_000, 50..=60_000),
        }
    }
}
