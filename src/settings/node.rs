//! Section `[node]`: who the node is and where it listens.

use super::Section;
use std::fmt;
use std::net::IpAddr;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::str::FromStr;

const ADDRESS: &str = "an IP address and port, such as 10.0.0.7:8080";
const NAME: &str = "a name of letters, digits, '-' and '.'";

/// Length of the deployment's key in bytes.
const KEY_BYTES: usize = 32;

/// The deployment's key, by which nodes know each other; it never shows in output.
#[derive(Clone, Eq, PartialEq)]
pub struct DeploymentKey([u8; KEY_BYTES]);

impl DeploymentKey {
    /// Makes a key of a code that was made with another key.
    ///
    /// # Panics
    ///
    /// Panics where the code is shorter than a key.
    pub fn from_mac(code: &[u8]) -> Self {
        let mut key = [0; KEY_BYTES];
        key.copy_from_slice(&code[..KEY_BYTES]);
        Self(key)
    }

    /// Lends the key's bytes.
    pub fn as_bytes(&self) -> &[u8] {
        &self.0
    }
}

impl fmt::Debug for DeploymentKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("DeploymentKey(..)")
    }
}

/// The text is not a key in hex.
#[derive(Clone, Copy, Debug)]
pub struct KeyFormatError;

impl FromStr for DeploymentKey {
    type Err = KeyFormatError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let digits = text.as_bytes();
        if digits.len() != 2 * KEY_BYTES {
            return Err(KeyFormatError);
        }
        let mut key = [0; KEY_BYTES];
        for (byte, pair) in key.iter_mut().zip(digits.chunks_exact(2)) {
            let pair = std::str::from_utf8(pair).map_err(|_| KeyFormatError)?;
            *byte = u8::from_str_radix(pair, 16).map_err(|_| KeyFormatError)?;
        }
        Ok(Self(key))
    }
}

/// A host's, data centre's or region's name.
#[derive(Clone, Debug, Eq, PartialEq)]
struct Name(String);

impl FromStr for Name {
    type Err = KeyFormatError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let legal = |c: char| c.is_ascii_alphanumeric() || c == '-' || c == '.';
        if text.is_empty() || !text.chars().all(legal) {
            return Err(KeyFormatError);
        }
        Ok(Self(text.to_owned()))
    }
}

/// Who the node is and where it listens.
#[derive(Clone, Debug)]
pub struct NodeSettings {
    /// Name in the platform's host list.
    pub name: String,
    /// Data centre of the host.
    pub data_centre: String,
    /// Region of the data centre.
    pub region: String,
    /// Where callers connect.
    pub caller_address: SocketAddr,
    /// Where other nodes connect.
    pub peer_address: SocketAddr,
    /// Where the platform's balancer and metrics connect.
    pub operations_address: SocketAddr,
    /// Local address of outgoing connections.
    pub source_ip: Option<IpAddr>,
    /// Threads that carry requests.
    pub worker_threads: usize,
    /// Key that all nodes of the deployment share.
    pub key: DeploymentKey,
}

impl NodeSettings {
    pub(super) fn read(section: &mut Section<'_>) -> Self {
        let nowhere = SocketAddr::new(IpAddr::V4(Ipv4Addr::UNSPECIFIED), 0);
        let no_name = || Name(String::new());
        Self {
            name: section.required("name", no_name(), NAME).0,
            data_centre: section.required("data_centre", no_name(), NAME).0,
            region: section.required("region", no_name(), NAME).0,
            caller_address: section.required("caller_address", nowhere, ADDRESS),
            peer_address: section.required("peer_address", nowhere, ADDRESS),
            operations_address: section.required("operations_address", nowhere, ADDRESS),
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
