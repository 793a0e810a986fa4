//! Relays between gateways, one for each ordered pair.
//!
//! A gateway tells the others the address that it binds, and passes on the addresses of gateways and servers that it knows. So a
//! relay changes the entries that pass through it: each gateway gets the addresses of the relays that are for its own
//! connections. These differ in the port alone. The store does the same for what it hands out ([`StoreService::add_view`]).
//!
//! [`StoreService::add_view`]: super::store::StoreService::add_view

use ciborium::Value;
use flate2::Compression;
use flate2::read::ZlibDecoder;
use flate2::write::ZlibEncoder;
use std::io;
use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::sync::Arc;

use super::relay::Direction;
use super::relay::Habits;
use super::relay::Relay;
use super::relay::Rewriter;

const HEAD_END: &[u8] = b"\r\n\r\n";
/// First byte of a WebSocket frame that is a whole binary message.
const WHOLE_BINARY: u8 = 0x82;
const MASKED: u8 = 0x80;
const MASK_BYTES: usize = 4;
/// Major type of a CBOR map, in the upper three bits of its first byte.
const CBOR_MAP: u8 = 5;

/// Number of ports in a block for servers.
const SERVER_PORTS: u16 = 100;

/// The ports of the relays for the connections of one gateway.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct RelayPorts {
    /// Port at which it reaches other gateways.
    pub peers: u16,
    /// First port of the block in which it reaches servers; `None` if it reaches these as all gateways do.
    pub first_server: Option<u16>,
}

impl RelayPorts {
    /// Returns the port at which the gateway reaches a server that has `port` in the block of any gateway.
    pub fn server(self, port: u16) -> u16 {
        self.first_server
            .map_or(port, |first| first + port % SERVER_PORTS)
    }
}

/// The ports of both gateways of a pair.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct PairPorts {
    /// Of the gateway that connects.
    pub caller: RelayPorts,
    /// Of the gateway that is connected to.
    pub target: RelayPorts,
}

/// Starts the relay at `address` for connections of one gateway to another one at `target`.
///
/// # Errors
///
/// Returns an error if the address can't be bound.
pub async fn start(
    address: SocketAddr,
    target: SocketAddr,
    habits: Habits,
    ports: PairPorts,
) -> io::Result<Relay> {
    let rewriters = Arc::new(move |direction| -> Box<dyn Rewriter> {
        let ports = match direction {
            Direction::Forward => ports.target,
            Direction::Back => ports.caller,
        };
        Box::new(EntryRewriter::new(ports))
    });
    Relay::start_rewriting(address, target, habits, rewriters).await
}

/// Sets the ports of entries in one direction of a WebSocket connection.
#[derive(Debug)]
pub(super) struct EntryRewriter {
    ports: RelayPorts,
    is_upgraded: bool,
    /// The beginning of a head or frame whose end hasn't come.
    buf: Vec<u8>,
}

impl EntryRewriter {
    /// Returns the rewriter of a new connection, whose receiver has relays with `ports`.
    pub(super) fn new(ports: RelayPorts) -> Self {
        Self {
            ports,
            is_upgraded: false,
            buf: Vec::new(),
        }
    }
}

impl Rewriter for EntryRewriter {
    fn rewrite(&mut self, bytes: &[u8]) -> Vec<u8> {
        self.buf.extend_from_slice(bytes);
        let mut out = Vec::new();
        if !self.is_upgraded {
            let end = self.buf.windows(HEAD_END.len());
            let Some(end) = end.into_iter().position(|part| part == HEAD_END) else {
                return out;
            };
            out.extend(self.buf.drain(..end + HEAD_END.len()));
            self.is_upgraded = true;
        }
        while let Some(frame) = Frame::first(&self.buf) {
            let rest = self.buf.split_off(frame.end);
            let frame_bytes = std::mem::replace(&mut self.buf, rest);
            match frame.rewritten(&frame_bytes, self.ports) {
                Some(changed) => out.extend(changed),
                None => out.extend(frame_bytes),
            }
        }
        out
    }
}

/// Where the parts of a WebSocket frame are.
#[derive(Clone, Copy, Debug)]
struct Frame {
    mask: Option<[u8; MASK_BYTES]>,
    /// Offset of the payload.
    payload: usize,
    /// Offset after the frame.
    end: usize,
}

impl Frame {
    /// Returns the first frame in `buf`, if it has come whole.
    fn first(buf: &[u8]) -> Option<Self> {
        let second = *buf.get(1)?;
        let (length, mut payload) = match second & !MASKED {
            126 => (
                u64::from(u16::from_be_bytes(buf.get(2..4)?.try_into().ok()?)),
                4,
            ),
            127 => (u64::from_be_bytes(buf.get(2..10)?.try_into().ok()?), 10),
            short => (u64::from(short), 2),
        };
        let mut mask = None;
        if second & MASKED != 0 {
            let bytes = buf.get(payload..payload + MASK_BYTES)?;
            mask = Some(bytes.try_into().ok()?);
            payload += MASK_BYTES;
        }
        let end = payload.checked_add(usize::try_from(length).ok()?)?;
        (end <= buf.len()).then_some(Self { mask, payload, end })
    }

    /// Returns this frame with other ports in its entries; `None` if it has none.
    fn rewritten(self, frame: &[u8], ports: RelayPorts) -> Option<Vec<u8>> {
        if frame[0] != WHOLE_BINARY {
            return None;
        }
        let mut payload = frame[self.payload..].to_vec();
        self.apply_mask(&mut payload);
        let mut payload = with_ports(&payload, ports)?;
        let mut out = vec![WHOLE_BINARY];
        let flag = if self.mask.is_some() { MASKED } else { 0 };
        match payload.len() {
            length @ 0..126 => out.push(flag | length as u8),
            length => {
                out.push(flag | 127);
                out.extend((length as u64).to_be_bytes());
            }
        }
        out.extend(self.mask.iter().flatten());
        self.apply_mask(&mut payload);
        out.extend(payload);
        Some(out)
    }

    fn apply_mask(self, payload: &mut [u8]) {
        if let Some(mask) = self.mask {
            let mask = mask.iter().cycle();
            payload
                .iter_mut()
                .zip(mask)
                .for_each(|(it, key)| *it ^= key);
        }
    }
}

/// Returns a message with `ports` in its entries; `None` if it has none.
fn with_ports(message: &[u8], ports: RelayPorts) -> Option<Vec<u8>> {
    // Tunnels carry bytes of servers in messages, and most other messages have no entries.
    let has = |name: &[u8]| message.windows(name.len()).any(|part| part == name);
    let is_map = message.first()? >> 5 == CBOR_MAP;
    if !is_map || !(has(b"address") || has(b"packed_")) {
        return None;
    }
    let peer = |_| ports.peers;
    let server = |port| ports.server(port);
    let mut value: Value = ciborium::from_reader(message).ok()?;
    let mut is_changed = false;
    for (key, value) in value.as_map_mut()? {
        is_changed |= match key.as_text() {
            Some("entry") => set_port(value, &peer).is_some(),
            Some("nodes") => set_ports(value, &peer).is_some(),
            Some("packed_nodes") => set_packed_ports(value, &peer).is_some(),
            Some("servers") => set_ports(value, &server).is_some(),
            Some("packed_servers") => set_packed_ports(value, &server).is_some(),
            _ => false,
        };
    }
    is_changed.then(|| encode(&value)).flatten()
}

/// Returns the port of an entry that has this one.
type Change<'a> = &'a dyn Fn(u16) -> u16;

fn encode(value: &Value) -> Option<Vec<u8>> {
    let mut buf = Vec::new();
    ciborium::into_writer(value, &mut buf).ok()?;
    Some(buf)
}

fn set_packed_ports(packed: &mut Value, change: Change<'_>) -> Option<()> {
    let bytes = packed.as_bytes_mut()?;
    let mut list = Vec::new();
    ZlibDecoder::new(bytes.as_slice())
        .read_to_end(&mut list)
        .ok()?;
    let mut list: Value = ciborium::from_reader(list.as_slice()).ok()?;
    set_ports(&mut list, change)?;
    let mut encoder = ZlibEncoder::new(Vec::new(), Compression::fast());
    encoder.write_all(&encode(&list)?).ok()?;
    *bytes = encoder.finish().ok()?;
    Some(())
}

fn set_ports(entries: &mut Value, change: Change<'_>) -> Option<()> {
    let entries = entries.as_array_mut()?.iter_mut();
    entries.map(|entry| set_port(entry, change)).collect()
}

fn field<'a>(map: &'a mut Value, name: &str) -> Option<&'a mut Value> {
    let mut fields = map.as_map_mut()?.iter_mut();
    let found = fields.find(|(key, _)| key.as_text() == Some(name));
    found.map(|(_, value)| value)
}

/// Sets the port of an entry's address, which is encoded as its family with the IP address and the port. That of a server is within
/// what is known of it.
fn set_port(entry: &mut Value, change: Change<'_>) -> Option<()> {
    let entry = match field(entry, "entry") {
        Some(_) => field(entry, "entry")?,
        None => entry,
    };
    let (_, parts) = field(entry, "address")?.as_map_mut()?.first_mut()?;
    let port = parts.as_array_mut()?.get_mut(1)?;
    let known = u16::try_from(port.as_integer()?).ok()?;
    *port = change(known).into();
    Some(())
}

#[cfg(test)]
mod tests;
