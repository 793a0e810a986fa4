//! Section `[node]`: identity, addresses and key of the node.

use super::Section;
use std::fmt;
use std::net::IpAddr;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::str::FromStr;

/// Description of the accepted addresses.
const ADDRESS_FORMAT: &str = "an IP address and port, such as 10.0.0.7:8080";
/// Description of the accepted names.
const NAME_FORMAT: &str = "a name of letters, digits, '-' and '.'";

/// Length of the deployment's key in bytes.
const KEY_BYTES: usize = 32;

/// The deployment's secret key, with which its nodes authenticate each other. It never appears in output.
#[derive(Clone, Eq, PartialEq)]
pub struct DeploymentKey([u8; KEY_BYTES]);

impl DeploymentKey {
    /// Creates a key from a message authentication code that was computed with another key.
    ///
    /// # Panics
    ///
    /// Panics if the code is shorter than a key.
    pub fn from_mac(mac: &[u8]) -> Self {
        let mut key = [0; KEY_BYTES];
        key.copy_from_slice(&mac[..KEY_BYTES]);
        Self(key)
    }

    /// Returns the key's bytes.
    pub fn as_bytes(&self) -> &[u8] {
        &self.0
    }
}

impl fmt::Debug for DeploymentKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("DeploymentKey(..)")
    }
}

/// The error returned when a text is not a key in hex, or not a name.
#[derive(Clone, Copy, Debug)]
pub struct FormatError;

impl FromStr for DeploymentKey {
    type Err = FormatError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let digits = text.as_bytes();
        if digits.len() != 2 * KEY_BYTES {
            return Err(FormatError);
        }
        let mut key = [0; KEY_BYTES];
        for (byte, pair) in key.iter_mut().zip(digits.chunks_exact(2)) {
            let pair = std::str::from_utf8(pair).map_err(|_| FormatError)?;
            *byte = u8::from_str_radix(pair, 16).map_err(|_| FormatError)?;
        }
        Ok(Self(key))
    }
}

/// Name of a host, data centre or region.
#[derive(Clone, Debug, Eq, PartialEq)]
struct Name(String);

impl FromStr for Name {
    type Err = FormatError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let is_allowed = |c: char| c.is_ascii_alphanumeric() || c == '-' || c == '.';
        if text.is_empty() || !text.chars().all(is_allowed) {
            return Err(FormatError);
        }
        Ok(Self(text.to_owned()))
    }
}

/// Identity, addresses and key of the node.
#[derive(Clone, Debug)]
pub struct NodeSettings {
    /// Name of the node in the platform's host list.
    pub name: String,
    /// Data centre of the host.
    pub data_centre: String,
    /// Region of the data centre.
    pub region: String,
    /// Address that callers connect to.
    pub caller_address: SocketAddr,
    /// Address that other nodes connect to.
    pub peer_address: SocketAddr,
    /// Address that the platform's load balancer and metrics collector connect to.
    pub operations_address: SocketAddr,
    /// Local address of outgoing connections.
    pub source_ip: Option<IpAddr>,
    /// Number of threads that handle requests.
    pub worker_threads: usize,
    /// Key that all nodes of the deployment share.
    pub key: DeploymentKey,
}

impl NodeSettings {
    pub(super) fn read(section: &mut Section<'_>) -> Self {
        let unspecified_address = SocketAddr::new(IpAddr::V4(Ipv4Addr::UNSPECIFIED), 0);
        let empty_name = || Name(String::new());
        Self {
            name: section.required("name", empty_name(), NAME_FORMAT).0,
            data_centre: section.required("data_centre", empty_name(), NAME_FORMAT).0,
            region: section.required("region", empty_name(), NAME_FORMAT).0,
            caller_address: section.required("caller_address", unspecified_address, ADDRESS_FORMAT),
            peer_address: section.required("peer_address", unspecified_address, ADDRESS_FORMAT),
            operations_address: section.required(
                "operations_address",
                unspecified_address,
                ADDRESS_FORMAT,
            ),
            source_ip: section.optional("source_ip", "an IP address of this host"),
            worker_threads: section.number("worker_threads", 2, 1..=256) as usize,
            key: section.required(
                "key",
                DeploymentKey([0; KEY_BYTES]),
                "64 hex digits, the same on all nodes",
            ),
        }
    }
}
