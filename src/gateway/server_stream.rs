//! The events that one server sends for a request.

use super::attempt::ServerResponse;
use super::end_check::EndCheck;
use super::events::EventSplitter;
use super::events::Events;
use super::loads::InFlightGuard;
use super::pool::ConnectionEnd;
use super::pool::Lease;
use super::progress::Progress;
use super::response_memory::ServerMemory;
use super::stream_record::BodyEnd;
use crate::clock::BootInstant;
use crate::decide::RunResult;
use crate::logs::Logs;
use crate::net::timeout_at;
use http_body_util::BodyExt;
use hyper::HeaderMap;
use hyper::StatusCode;
use hyper::body::Incoming;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::Instant;

/// The response stream of one server.
pub(super) struct ServerStream {
    pub(super) status: StatusCode,
    pub(super) headers: HeaderMap,
    body: Incoming,
    lease: Lease,
    /// Ends the stream if nobody reads it at its deadline.
    end: ConnectionEnd,
    guard: Arc<InFlightGuard>,
    progress: Arc<Progress>,
    splitter: EventSplitter,
    end_check: EndCheck,
    has_events: bool,
    /// Whether the stream is complete without an event, since it goes on with one that may have come to its end.
    may_be_empty: bool,
}

/// The next item of a server's stream.
#[derive(Debug)]
pub(super) enum StreamItem {
    Events(Events),
    /// The stream is complete.
    End,
    /// The stream broke off, for this cause.
    Broken(String),
    /// Nothing has come for the given time. The stream may still go on.
    Silent,
    /// The deadline of the request has passed.
    DeadlineExceeded,
}

impl ServerStream {
    /// Returns the stream of `response`, whose events draw on `memory`, and which ends at `deadline` also if nobody reads it.
    pub(super) fn new(
        response: ServerResponse,
        memory: &Arc<ServerMemory>,
        end_check: EndCheck,
        progress: &Arc<Progress>,
        deadline: Instant,
        logs: &Logs,
    ) -> Self {
        Self {
            status: response.head.status,
            end_check,
            has_events: false,
            may_be_empty: false,
            body: response.body,
            headers: response.head.headers,
            end: response.lease.close_after(deadline, logs),
            lease: response.lease,
            guard: response.guard,
            progress: Arc::clone(progress),
            splitter: EventSplitter::new(memory),
        }
    }

    /// Returns when the connection on which the stream comes was opened.
    pub(super) fn connection_opened_at(&self) -> BootInstant {
        self.lease.opened_at()
    }

    /// Lets the stream be complete without an event.
    pub(super) fn allow_empty(&mut self) {
        self.may_be_empty = true;
    }

    /// Returns the next whole events. Part of an event is never passed on, since it could not be taken back if the
    /// stream is resumed at another server. The stream is silent if nothing comes for `silence_limit`; a call after
    /// [`StreamItem::Silent`] goes on where the last one stopped.
    pub(super) async fn next(
        &mut self,
        silence_limit: Option<Duration>,
        deadline: Instant,
    ) -> StreamItem {
        // Counted from the call, since the caller may take its time to read what came before.
        let waits_since = Instant::now();
        loop {
            let until =
                silence_limit.map_or(deadline, |limit| (Instant::now() + limit).min(deadline));
            let frame = match timeout_at(until, self.body.frame()).await {
                Err(_) if until == deadline => return StreamItem::DeadlineExceeded,
                Err(_) => return StreamItem::Silent,
                Ok(frame) => frame,
            };
            match frame {
                None if self.splitter.has_partial_event() => {
                    return StreamItem::Broken("event cut off".to_owned());
                }
                None if self.may_be_empty && !self.has_events => return StreamItem::End,
                // A server that is back in no time accepts connections like one that has finished.
                None if self.body_end() == BodyEnd::Connection && !self.has_events => {
                    return StreamItem::Broken("ended before the first event".to_owned());
                }
                None => {
                    self.progress.record_end();
                    if !self.end_check.is_complete(deadline).await {
                        return StreamItem::Broken("server ended with its stream".to_owned());
                    }
                    return StreamItem::End;
                }
                Some(Err(_)) if self.end.has_come() => return StreamItem::DeadlineExceeded,
                Some(Err(err)) => return StreamItem::Broken(err.to_string()),
                Some(Ok(frame)) => {
                    self.guard.record_activity();
                    let Ok(bytes) = frame.into_data() else {
                        continue;
                    };
                    self.lease.head_limit().record_body(bytes.len());
                    self.progress.record_event_bytes();
                    match self.splitter.push(&bytes) {
                        Ok(Some(events)) => {
                            if self.has_events {
                                self.guard.record_pace(waits_since.elapsed());
                            }
                            self.has_events |= events.has_event();
                            return StreamItem::Events(events);
                        }
                        Ok(None) => {}
                        Err(err) => return StreamItem::Broken(err.to_string()),
                    }
                }
            }
        }
    }

    /// Sets what learns from now on when something comes.
    pub(super) fn set_progress(&mut self, progress: &Arc<Progress>) {
        self.progress = Arc::clone(progress);
    }

    /// Returns what counts the request as in flight at the server.
    pub(super) fn guard(&self) -> &Arc<InFlightGuard> {
        &self.guard
    }

    /// Returns what tells that the response is complete.
    pub(super) fn body_end(&self) -> BodyEnd {
        self.end_check.body_end()
    }

    /// Returns the name of the server.
    pub(super) fn server_id(&self) -> &str {
        self.lease.server_id()
    }

    /// Records `result` for the server and closes the stream's connection.
    pub(super) fn abandon(self, result: RunResult) {
        self.guard.record_result(result);
        self.lease.close();
    }

    /// Returns the connection of a complete stream, and the headers of its response, for further requests.
    pub(super) fn into_connection(self) -> (Lease, HeaderMap) {
        (self.lease, self.headers)
    }
}
