//! Settings of a gateway in INI format; `docs/GATEWAY-SETTINGS.md` is the reference.

use crate::decide::Regions;
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
const REGIONS: &str = "pairs of data centre and region, such as gavle:north, separated by commas";

/// Name, location and addresses of the host that a gateway runs on.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct GatewayHost {
    /// Name of the host, for logs and other nodes.
    pub name: String,
    /// Data centre of the host.
    pub data_centre: String,
    /// Names of all data centres of the fleet.
    pub data_centres: Vec<String>,
    /// Regions of the data centres.
    pub regions: Regions,
    /// Bandwidth of the host's link in Mbit/s; hosts with fast links are preferred as relays, which read the store for
    /// other nodes.
    pub link_mbps: u64,
    /// Listen address for other gateways.
    pub peer_address: SocketAddr,
    /// Listen address for callers.
    pub caller_address: SocketAddr,
    /// Listen address for the load balancer's readiness probes.
    pub ready_address: SocketAddr,
    /// Listen address for metrics.
    pub metrics_address: SocketAddr,
    /// Address of the platform's store.
    pub store_address: SocketAddr,
    /// Whether a full service rejects teams beyond a fair share first.
    pub has_team_shares: bool,
    /// Terms of service that the platform names, which its adapter translates; may be empty.
    pub terms: Vec<String>,
    /// Whether the whole fleet starts for the first time, so that no gateway knows another.
    pub is_first_start: bool,
}

/// Time limits that callers and operators rely on, from which schedules are derived, and the retry budget.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct GatewayBounds {
    /// Time within which a changed configuration is in force on every node.
    pub config_apply: Duration,
    /// Time within which a draining server stops getting new requests.
    pub drain: Duration,
    /// Time within which a revoked API key stops being accepted.
    pub revoke: Duration,
    /// Whether `revoke` also holds on nodes that are disconnected from the store.
    pub strict_revoke: bool,
    /// Interval between two reports of a backend server; its entry expires after three intervals without a report.
    pub heartbeat: Duration,
    /// Time from the request to stop until the process ends.
    pub grace: Duration,
    /// Window over which the retry budget is counted.
    pub retry_window: Duration,
    /// Retries allowed per request in the window, in thousandths.
    pub retry_ratio_milli: u64,
    /// Additional retries allowed in a window, for the whole fleet.
    pub retry_slack: u64,
    /// Factor by which requests to a cold server may exceed what its service says that it bears, in thousandths.
    pub cold_excess_milli: u64,
    /// Requests by which they may exceed that besides, in any second, in thousandths.
    pub cold_slack_milli: u64,
    /// Time within which the servers of an evacuated data centre stop getting requests; `None` where data centres are not
    /// evacuated.
    pub evacuation: Option<Duration>,
}

/// All settings in a gateway's settings file.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct GatewaySettings {
    /// The host: its name, location and addresses.
    pub host: GatewayHost,
    /// Time limits and the retry budget.
    pub bounds: GatewayBounds,
}

impl GatewaySettings {
    /// Reads and checks the file at `path`.
    ///
    /// # Errors
    ///
    /// Returns all problems of the file, or the reason why it can't be read.
    pub fn load(path: &Path) -> Result<Self, SettingsError> {
        load_file(path, Self::parse)
    }

    /// Parses and checks settings given as text.
    ///
    /// # Errors
    ///
    /// Returns all problems of the text.
    pub fn parse(text: &str) -> Result<Self, SettingsError> {
        read_sections(text, Self::read)
    }

    /// Returns every section and key that a file may hold, sorted, so that the reference can be checked against it.
    pub fn known_keys() -> Vec<(String, String)> {
        known_keys(|reader| {
            Self::read(reader);
        })
    }

    fn read(reader: &mut Reader<'_>) -> Self {
        Self {
            host: reader.section("gateway", GatewayHost::read),
            bounds: reader.section("bounds", GatewayBounds::read),
        }
    }
}

fn split_names(list: &str) -> Vec<String> {
    let names = list.split(',').map(str::trim);
    names
        .filter(|name| !name.is_empty())
        .map(str::to_owned)
        .collect()
}

/// Parses pairs of data centre and region; what is no pair names no region.
fn parse_regions(list: &str) -> Regions {
    let pairs = split_names(list);
    let pairs = pairs.iter().filter_map(|pair| pair.split_once(':'));
    Regions::new(
        pairs
            .map(|(centre, region)| (centre.trim().to_owned(), region.trim().to_owned()))
            .collect(),
    )
}

impl GatewayHost {
    fn read(section: &mut Section<'_>) -> Self {
        let unset = SocketAddr::new(IpAddr::V4(Ipv4Addr::UNSPECIFIED), 0);
        Self {
            name: section.required("name", String::new(), NAME),
            data_centre: section.required("data_centre", String::new(), NAME),
            data_centres: split_names(&section.value_or("data_centres", String::new(), NAMES)),
            regions: parse_regions(&section.value_or("regions", String::new(), REGIONS)),
            link_mbps: section.float("link_mbps", 1_000.0, 1.0..=1_000_000.0) as u64,
            peer_address: section.required("peer_address", unset, ADDRESS),
            caller_address: section.required("caller_address", unset, ADDRESS),
            ready_address: section.required("ready_address", unset, ADDRESS),
            metrics_address: section.required("metrics_address", unset, ADDRESS),
            store_address: section.required("store_address", unset, ADDRESS),
            has_team_shares: section.value_or("team_shares", false, "true or false"),
            terms: split_names(&section.value_or("terms", String::new(), NAMES)),
            is_first_start: section.value_or("first_start", false, "true or false"),
        }
    }
}

impl GatewayBounds {
    fn read(section: &mut Section<'_>) -> Self {
        let grace_s = section.float("grace_s", 8.0, 1.0..=3_600.0);
        let window_s = section.float("retry_window_s", 10.0, 0.1..=3_600.0);
        let ratio = section.float("retry_ratio", 0.2, 0.0..=1.0);
        let slack = section.float("retry_slack", 0.0, 0.0..=1_000_000.0);
        let cold_excess = section.float("cold_excess", 1.0, 0.0..=1_000.0);
        let cold_slack = section.float("cold_slack", 0.0, 0.0..=1_000_000.0);
        let evacuation = section.millis("evacuation_ms", 0, 0..=600_000);
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
            cold_excess_milli: (cold_excess * 1_000.0) as u64,
            cold_slack_milli: (cold_slack * 1_000.0) as u64,
            evacuation: (!evacuation.is_zero()).then_some(evacuation),
        }
    }
}
