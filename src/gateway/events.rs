//! Splits a byte stream into whole server-sent events.

use bytes::Bytes;
use bytes::BytesMut;

/// Maximum size of an event; a longer one means that the body is not an event stream.
const MAX_EVENT_BYTES: usize = 1024 * 1024;

/// Buffers bytes and splits off whole events.
#[derive(Debug, Default)]
pub(super) struct EventSplitter {
    buf: BytesMut,
    /// Index in `buf` before which no event ends; the search for an end starts there.
    scanned: usize,
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
}

/// An event exceeds [`MAX_EVENT_BYTES`] without having ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) struct EventTooLong;

impl Events {
    /// Returns whether the ids go on after event `last_id`, without a gap or a duplicate. Events without ids do.
    pub(super) fn follows(&self, last_id: Option<u64>) -> bool {
        match (last_id, self.first_id) {
            (Some(last), Some(first)) => last.checked_add(1) == Some(first),
            _ => true,
        }
    }
}

impl EventSplitter {
    /// Appends bytes and returns the events that are complete now, or `None` if there are none.
    pub(super) fn push(&mut self, bytes: &[u8]) -> Result<Option<Events>, EventTooLong> {
        self.buf.extend_from_slice(bytes);
        let Some(end) = self.end_of_last_event() else {
            self.scanned = self.buf.len().saturating_sub(3);
            if self.buf.len() > MAX_EVENT_BYTES {
                return Err(EventTooLong);
            }
            return Ok(None);
        };
        let bytes = self.buf.split_to(end).freeze();
        self.scanned = 0;
        let mut ids = bytes.split(|&byte| byte == b'\n').filter_map(event_id);
        let first_id = ids.next();
        let last_id = ids.next_back().or(first_id);
        Ok(Some(Events {
            bytes,
            first_id,
            last_id,
        }))
    }

    /// Returns whether the buffer holds bytes of an incomplete event.
    pub(super) fn has_partial_event(&self) -> bool {
        !self.buf.is_empty()
    }

    /// Returns the index after the last whole event, which ends with an empty line; lines end with LF or CRLF.
    fn end_of_last_event(&self) -> Option<usize> {
        let buf = &self.buf;
        (self.scanned..buf.len()).rev().find_map(|index| {
            let is_empty_line = buf[index] == b'\n'
                && (buf[..index].ends_with(b"\n") || buf[..index].ends_with(b"\n\r"));
            is_empty_line.then_some(index + 1)
        })
    }
}

fn event_id(line: &[u8]) -> Option<u64> {
    let value = line.strip_prefix(b"id:")?;
    std::str::from_utf8(value).ok()?.trim().parse().ok()
}
