//! Splits a byte stream into whole server-sent events.

use super::response_memory::NoMemory;
use super::response_memory::Reservation;
use super::response_memory::ServerMemory;
use bytes::Bytes;
use bytes::BytesMut;
use std::fmt;
use std::sync::Arc;

/// Maximum size of an event; a longer one means that the body is not an event stream.
const MAX_EVENT_BYTES: usize = 1024 * 1024;

/// Buffers bytes and splits off whole events. Both draw on the memory for what the server has sent.
#[derive(Debug)]
pub(super) struct EventSplitter {
    buf: BytesMut,
    /// The memory that `buf` takes.
    reservation: Reservation,
    /// Index in `buf` before which no event ends; the search for an end starts there.
    scanned: usize,
    /// Whether an event without a numeric id has been split off.
    has_unnumbered: bool,
}

/// One or more consecutive whole events.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(super) struct Events {
    /// Bytes of the events, unchanged.
    pub(super) bytes: Bytes,
    /// Id of the first event that has a numeric id.
    pub(super) first_id: Option<u64>,
    /// Id of the last event that has a numeric id.
    pub(super) last_id: Option<u64>,
    /// Number of events without a numeric id; blocks of lines that belong to no event are none.
    pub(super) unnumbered: u32,
    /// Whether an event without a numeric id came before these in the stream.
    pub(super) follow_unnumbered: bool,
    /// Number of events whose id is not one higher than the id before it among these.
    pub(super) gaps: u32,
}

/// Why bytes were not taken as part of an event stream.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum EventError {
    /// An event exceeds [`MAX_EVENT_BYTES`] without having ended.
    TooLong,
    /// There is no memory for them.
    NoMemory,
}

impl fmt::Display for EventError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::TooLong => "event without end",
            Self::NoMemory => "no memory for its events",
        })
    }
}

impl From<NoMemory> for EventError {
    fn from(_: NoMemory) -> Self {
        Self::NoMemory
    }
}

/// What the lines of an event have shown so far.
#[derive(Clone, Copy, Debug, Default)]
struct EventLines {
    id: Option<u64>,
    /// Whether there is a line of an event, such as its data.
    has_content: bool,
}

impl Events {
    /// Returns the events in `bytes`, which end with a whole event.
    fn new(bytes: Bytes) -> Self {
        let mut events = Self {
            bytes: Bytes::new(),
            first_id: None,
            last_id: None,
            unnumbered: 0,
            follow_unnumbered: false,
            gaps: 0,
        };
        let mut event = EventLines::default();
        for line in bytes.split(|&byte| byte == b'\n') {
            match line.strip_suffix(b"\r").unwrap_or(line) {
                [] => events.add(std::mem::take(&mut event)),
                line => {
                    event.has_content |= !is_outside_events(line);
                    event.id = event_id(line).or(event.id);
                }
            }
        }
        events.bytes = bytes;
        events
    }

    /// Returns whether there is an event, not only lines that belong to none.
    pub(super) fn has_event(&self) -> bool {
        self.first_id.is_some() || self.unnumbered > 0
    }

    /// Counts an event that has ended.
    fn add(&mut self, event: EventLines) {
        let Some(id) = event.id else {
            self.unnumbered += u32::from(event.has_content);
            return;
        };
        if let Some(last) = self.last_id {
            self.gaps += u32::from(last.checked_add(1) != Some(id));
        }
        self.first_id = self.first_id.or(Some(id));
        self.last_id = Some(id);
    }

    /// Returns whether each event follows the one before it, and the first of them event `last_id`, without a gap or a duplicate.
    /// In a stream of which any event has an id, one without belongs to another answer; a stream without ids has no order to
    /// check.
    pub(super) fn follows(&self, last_id: Option<u64>) -> bool {
        let goes_on = match (last_id, self.first_id) {
            (Some(last), Some(first)) => last.checked_add(1) == Some(first),
            _ => true,
        };
        let is_numbered = last_id.is_some() || self.first_id.is_some();
        let has_unnumbered = self.unnumbered > 0 || self.follow_unnumbered;
        goes_on && self.gaps == 0 && !(is_numbered && has_unnumbered)
    }
}

impl EventSplitter {
    /// Returns a splitter for events of the server that draws on `memory`.
    pub(super) fn new(memory: &Arc<ServerMemory>) -> Self {
        Self {
            buf: BytesMut::new(),
            reservation: Reservation::new(memory),
            scanned: 0,
            has_unnumbered: false,
        }
    }

    /// Appends bytes and returns the events that are complete now, or `None` if there are none.
    pub(super) fn push(&mut self, bytes: &[u8]) -> Result<Option<Events>, EventError> {
        self.buf.extend_from_slice(bytes);
        self.reservation.resize(self.buf.capacity())?;
        let Some(end) = self.end_of_last_event() else {
            self.scanned = self.buf.len().saturating_sub(3);
            if self.buf.len() > MAX_EVENT_BYTES {
                return Err(EventError::TooLong);
            }
            return Ok(None);
        };
        // A buffer of its own for the rest, so that neither keeps the memory of the other.
        let rest = BytesMut::from(&self.buf[end..]);
        let mut whole = std::mem::replace(&mut self.buf, rest);
        whole.truncate(end);
        let reservation = self.reservation.take();
        self.reservation.resize(self.buf.capacity())?;
        self.scanned = 0;
        let mut events = Events::new(reservation.hold(whole));
        events.follow_unnumbered = self.has_unnumbered;
        self.has_unnumbered |= events.unnumbered > 0;
        Ok(Some(events))
    }

    /// Returns whether the buffer holds bytes of an incomplete event.
    pub(super) fn has_partial_event(&self) -> bool {
        !self.buf.is_empty()
    }

    /// Returns the index after the last empty line, with which an event ends; lines end with LF or CRLF.
    fn end_of_last_event(&self) -> Option<usize> {
        let buf = &self.buf;
        (self.scanned..buf.len()).rev().find_map(|index| {
            let before = buf[..index].strip_suffix(b"\r").unwrap_or(&buf[..index]);
            let is_empty_line =
                buf[index] == b'\n' && (before.is_empty() || before.ends_with(b"\n"));
            is_empty_line.then_some(index + 1)
        })
    }
}

/// Returns whether a line belongs to no event if a block has only such lines: a comment, or a field that alone makes none.
fn is_outside_events(line: &[u8]) -> bool {
    let name = line.split(|&byte| byte == b':').next();
    matches!(name, Some(b"" | b"retry" | b"event"))
}

fn event_id(line: &[u8]) -> Option<u64> {
    let value = line.strip_prefix(b"id:")?;
    std::str::from_utf8(value).ok()?.trim().parse().ok()
}
