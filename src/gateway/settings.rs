//! The settings of a gateway, in INI; `docs/GATEWAY-SETTINGS.md` is the reference.

use crate::settings::Reader;
use crate::settings::Section;
use crate::settings::SettingsError;
use crate::settings::known_keys;
use crate::settings::load_file;
use crate::settings::read_sections;
use std::net::IpAddr;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

const ADDRESS: &str = "an IP address and port, such as 10.0.0.7:8080";
const NAME: &str = "a name";
const NAMES: &str = "names, separated by commas";

/// Who the gateway is and where it listens.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct GatewayPlace {
    /// Name of the host, for logs and other nodes.
    pub name: String,
    /// Data centre of the host.
    pub data_centre: String,
    /// Names of all data centres of the fleet.
    pub data_centres: Vec<String>,
    /// Bandwidth of the host's link in Mbit/s; hosts with wide links read the store for others.
    pub link_mbps: u64,
    /// Where other gateways connect.
    pub peer_address: SocketAddr,
    /// Where callers connect.
    pub caller_address: SocketAddr,
    /// Where the balancer asks whether the node is ready.
    pub ready_address: SocketAddr,
    /// Where metrics are served.
    pub metrics_address: SocketAddr,
    /// Where the platform's store listens.
    pub store_address: SocketAddr,
}

/// Promises to callers and operators that schedules are taken from.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct GatewayBounds {
    /// Time after which a changed configuration holds everywhere.
    pub config_apply: Duration,
    /// Time after which a leaving server gets nothing new.
    pub drain: Duration,
    /// Time after which a key that was taken away opens nothing.
    pub revoke: Duration,
    /// Whether that holds on nodes that are cut off as well.
    pub strict_revoke: bool,
    /// Time between two reports of a backend server; three without one, and its entry lapses.
    pub heartbeat: Duration,
    /// Time between a request to stop and the end of the process.
    pub grace: Duration,
    /// Window of the budget of repeated sends.
    pub retry_window: Duration,
    /// Repeated sends for each request of the window, in thousandths.
    pub retry_ratio_milli: u64,
    /// Repeated sends in a window besides.
    pub retry_slack: u64,
}

/// Everything that a gateway learns from its settings file.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct GatewaySettings {
    /// Who it is and where it listens.
    pub place: GatewayPlace,
    /// What it promises.
    pub bounds: GatewayBounds,
}

impl GatewaySettings {
    /// Reads and checks the file at `path`.
    ///
    /// # Errors
    ///
    /// Names every problem of the file, or why it can't be read.
    pub fn load(path: &Path) -> Result<Self, SettingsError> {
        load_file(path, Self::parse)
    }

    /// Checks settings given as text.
    ///
    /// # Errors
    ///
    /// Names every problem of the text.
    pub fn parse(text: &str) -> Result<Self, SettingsError> {
        read_sections(text, Self::read)
    }

    /// Lists every section and key that a file may hold, sorted, so that the reference can be checked against it.
    pub fn known_keys() -> Vec<(String, String)> {
        known_keys(|reader| {
            Self::read(reader);
        })
    }

    fn read(reader: &mut Reader<'_>) -> Self {
        Self {
            place: reader.section("gateway", GatewayPlace::read),
            bounds: reader.section("bounds", GatewayBounds::read),
        }
    }
}

fn names(list: &str) -> Vec<String> {
    let names = list.split(',').map(str::trim);
    names
        .filter(|name| !name.is_empty())
        .map(str::to_owned)
        .collect()
}

impl GatewayPlace {
    fn read(section: &mut Section<'_>) -> Self {
        let nowhere = SocketAddr::new(IpAddr::V4(Ipv4Addr::UNSPECIFIED), 0);
        Self {
            name: section.required("name", String::new(), NAME),
            data_centre: section.required("data_centre", String::new(), NAME),
            data_centres: names(&section.value_or("data_centres", String::new(), NAMES)),
            link_mbps: section.float("link_mbps", 1_000.0, 1.0..=1_000_000.0) as u64,
            peer_address: section.required("peer_address", nowhere, ADDRESS),
            caller_address: section.required("caller_address", nowhere, ADDRESS),
            ready_address: section.required("ready_address", nowhere, ADDRESS),
            metrics_address: section.required("metrics_address", nowhere, ADDRESS),
            store_address: section.required("store_address", nowhere, ADDRESS),
        }
    }
}

impl GatewayBounds {
    fn read(section: &mut Section<'_>) -> Self {
        let grace_s = section.float("grace_s", 8.0, 1.0..=3_600.0);
        let window_s = section.float("retry_window_s", 10.0, 0.1..=3_600.0);
        let ratio = section.float("retry_ratio", 0.2, 0.0..=1.0);
        let slack = section.float("retry_slack", 0.0, 0.0..=1_000_000.0);
        Self {
            config_apply: section.millis("config_apply_ms", 2_000, 200..=60_000),
            drain: section.millis("drain_ms", 2_000, 200..=60_000),
            revoke: section.millis("revoke_ms", 5_000, 500..=600_000),
            strict_revoke: section.value_or("strict_revoke", true, "true or false"),
            heartbeat: section.millis("heartbeat_ms", 1_200, 50..=60_000),
            grace: Duration::from_secs_f64(grace_s),
            retry_window: Duration::from_secs_f64(window_s),
            retry_ratio_milli: (ratio * 1_000.0) as u64,
            retry_slack: slack as u64,
        }
    }
}
