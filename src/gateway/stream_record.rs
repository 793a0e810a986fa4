//! What a request's log line tells of its stream: which server's events the caller got, and how the last answer ended
//! (`docs/OPERATIONS.md`).

use super::events::Events;
use crate::net::ends_with_connection;
use hyper::HeaderMap;
use hyper::body::Body;
use hyper::header::TRANSFER_ENCODING;
use std::fmt::Write;

/// How the end of a response's body is told from a broken connection.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum BodyEnd {
    /// The head names the length.
    Length,
    /// The last chunk is empty.
    LastChunk,
    /// The server closes the connection, as its host does when the server has crashed.
    Connection,
}

impl BodyEnd {
    /// Returns what ends the body of a received response.
    pub(super) fn of<B: Body>(headers: &HeaderMap, body: &B) -> Self {
        if ends_with_connection(headers, body) {
            Self::Connection
        } else if headers.contains_key(TRANSFER_ENCODING) {
            Self::LastChunk
        } else {
            Self::Length
        }
    }

    /// Returns the name that log lines give it.
    pub(super) fn as_str(self) -> &'static str {
        match self {
            Self::Length => "length",
            Self::LastChunk => "last chunk",
            Self::Connection => "connection",
        }
    }
}

/// The events that came from one server in a row.
#[derive(Clone, Debug, Eq, PartialEq)]
struct Piece {
    server: String,
    first_id: Option<u64>,
    last_id: Option<u64>,
}

/// The events of a stream that were passed on to its caller.
#[derive(Clone, Debug, Default)]
pub(super) struct StreamRecord {
    /// Id of the event after which the caller resumes the stream.
    pub(super) after: Option<u64>,
    pieces: Vec<Piece>,
    unnumbered: u32,
    gaps: u32,
    end: Option<BodyEnd>,
}

impl StreamRecord {
    /// Records that `events` of `server` are passed on.
    pub(super) fn record_events(&mut self, server: &str, events: &Events) {
        if self
            .pieces
            .last()
            .is_none_or(|piece| piece.server != server)
        {
            self.pieces.push(Piece {
                server: server.to_owned(),
                first_id: None,
                last_id: None,
            });
        }
        let last_id = self.last_id().or(self.after);
        if let (Some(last), Some(first)) = (last_id, events.first_id) {
            self.gaps += u32::from(last.checked_add(1) != Some(first));
        }
        self.gaps += events.gaps;
        self.unnumbered += events.unnumbered;
        if let Some(piece) = self.pieces.last_mut() {
            piece.first_id = piece.first_id.or(events.first_id);
            piece.last_id = events.last_id.or(piece.last_id);
        }
    }

    /// Records that the answer of the last server is complete, and by what.
    pub(super) fn record_end(&mut self, end: BodyEnd) {
        self.end = Some(end);
    }

    /// Returns the id of the last event that was passed on; `None` if no event had one.
    pub(super) fn last_id(&self) -> Option<u64> {
        self.pieces.iter().rev().find_map(|piece| piece.last_id)
    }

    /// Returns the ids of the events by server, as `SERVER:FIRST-LAST` in order, separated by commas.
    pub(super) fn pieces(&self) -> String {
        let mut text = String::new();
        for piece in &self.pieces {
            let separator = if text.is_empty() { "" } else { "," };
            let server = &piece.server;
            // Writing to a string can't fail.
            let _ = match (piece.first_id, piece.last_id) {
                (Some(first), Some(last)) => write!(text, "{separator}{server}:{first}-{last}"),
                _ => write!(text, "{separator}{server}:"),
            };
        }
        text
    }

    /// Returns the number of events without a numeric id.
    pub(super) fn unnumbered(&self) -> u32 {
        self.unnumbered
    }

    /// Returns the number of events whose id is not one higher than the one before it.
    pub(super) fn gaps(&self) -> u32 {
        self.gaps
    }

    /// Returns what told that the last answer is complete; empty if it is not.
    pub(super) fn end(&self) -> &'static str {
        self.end.map_or("", BodyEnd::as_str)
    }
}
