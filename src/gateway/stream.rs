//! Passes the events of a stream to the caller as they arrive, and resumes a broken stream at another server if the
//! route allows it.

use super::attempt::ServerResponse;
use super::events::EventSplitter;
use super::events::Events;
use super::exchange::Exchange;
use super::headers::remove_hop_by_hop;
use super::loads::InFlightGuard;
use super::pool::Lease;
use crate::decide::RunResult;
use crate::net::Body;
use crate::net::BodyError;
use bytes::Bytes;
use futures_util::stream;
use http_body_util::BodyExt;
use http_body_util::StreamBody;
use hyper::HeaderMap;
use hyper::Response;
use hyper::StatusCode;
use hyper::body::Frame;
use hyper::body::Incoming;
use hyper::header::CONTENT_LENGTH;
use hyper::header::TRANSFER_ENCODING;
use std::time::Duration;
use tokio::time::Instant;

/// The response stream of one server.
struct ServerStream {
    body: Incoming,
    headers: HeaderMap,
    lease: Lease,
    guard: InFlightGuard,
    splitter: EventSplitter,
    /// Whether the response has neither a length nor chunks, so that it ends with its connection.
    is_unframed: bool,
    has_events: bool,
}

/// The next item of a server's stream.
enum StreamItem {
    Events(Events),
    /// The stream is complete.
    End,
    /// The stream broke off, for this cause.
    Broken(String),
    /// The deadline of the request has passed.
    DeadlineExceeded,
}

/// The stream to the caller, which may come from several servers in turn.
struct CallerStream {
    exchange: Exchange,
    /// Stream of the current server; `None` once it has ended or broken off.
    server_stream: Option<ServerStream>,
    /// Id of the last event passed to the caller, after which a broken stream is resumed; `None` if no event had an id.
    last_id: Option<u64>,
    /// The events that arrived before the response was built; they are the first item of its body.
    first_events: Option<Bytes>,
    /// Status of the response, for the request's report.
    status: StatusCode,
}

/// An exchange whose stream broke off before the first event, and the cause.
pub(super) type FailedStart = Box<(Exchange, String)>;

/// Waits for the first events and builds the response with them. Until then nothing has been sent to the caller, so the
/// request can still be sent to another server.
pub(super) async fn start(
    mut exchange: Exchange,
    server_response: Box<ServerResponse>,
) -> Result<Response<Body>, FailedStart> {
    let (mut server_stream, status) = ServerStream::new(*server_response);
    let stall_limit = exchange.stall_limit();
    let item = server_stream.next(stall_limit, exchange.deadline).await;
    let (first_events, last_id) = match item {
        StreamItem::Events(events) => (Some(events.bytes), events.last_id),
        StreamItem::End => (None, None),
        StreamItem::Broken(cause) => {
            server_stream.abandon(RunResult::Broken);
            return Err(Box::new((exchange, cause)));
        }
        StreamItem::DeadlineExceeded => {
            server_stream.abandon(RunResult::Silent);
            return Err(Box::new((exchange, "no event in time".to_owned())));
        }
    };
    exchange.report.record_first_byte();
    exchange.report.record_event(last_id);
    if first_events.is_some() {
        exchange.record_progress();
    }
    if first_events.is_some() {
        exchange.record_stream_start();
    }
    let mut response = Response::new(());
    *response.status_mut() = status;
    *response.headers_mut() = server_stream.headers.clone();
    remove_hop_by_hop(response.headers_mut());
    // A resumed stream may differ in length from what the first server announced.
    response.headers_mut().remove(CONTENT_LENGTH);
    let is_complete = first_events.is_none();
    let mut caller_stream = CallerStream {
        exchange,
        server_stream: Some(server_stream),
        last_id,
        first_events,
        status,
    };
    if is_complete {
        caller_stream.finish();
    }
    let body = stream::unfold(caller_stream, |mut caller_stream| async move {
        let frame = caller_stream.next().await?;
        Some((frame.map(Frame::data), caller_stream))
    });
    let (head, ()) = response.into_parts();
    Ok(Response::from_parts(
        head,
        StreamBody::new(body).boxed_unsync(),
    ))
}

impl CallerStream {
    /// Returns the next events for the caller, `None` after the last ones, or an error that breaks off the response. A
    /// broken stream is resumed at another server if possible.
    async fn next(&mut self) -> Option<Result<Bytes, BodyError>> {
        if let Some(bytes) = self.first_events.take() {
            return Some(Ok(bytes));
        }
        loop {
            let stall_limit = self.exchange.stall_limit();
            let deadline = self.exchange.deadline;
            let item = self
                .server_stream
                .as_mut()?
                .next(stall_limit, deadline)
                .await;
            match item {
                StreamItem::Events(events) if self.is_in_order(&events) => {
                    self.last_id = events.last_id.or(self.last_id);
                    self.exchange.report.record_event(events.last_id);
                    self.exchange.record_progress();
                    return Some(Ok(events.bytes));
                }
                StreamItem::Events(_) => {
                    self.abandon(RunResult::Broken);
                    return Some(Err(self.fail("events out of order")));
                }
                StreamItem::End => {
                    self.finish();
                    return None;
                }
                StreamItem::DeadlineExceeded => {
                    self.abandon(RunResult::Silent);
                    return Some(Err(self.fail("time is over")));
                }
                StreamItem::Broken(cause) => {
                    self.abandon(RunResult::Broken);
                    if self.exchange.has_crashed_server().await {
                        return Some(Err(self.fail(&format!("server crashed: {cause}"))));
                    }
                    if let Err(cause) = self.resume(&cause).await {
                        return Some(Err(self.fail(&cause)));
                    }
                }
            }
        }
    }

    /// Returns whether the event ids continue without a gap or a duplicate, both of which are most likely after the
    /// stream was resumed at another server.
    fn is_in_order(&self, events: &Events) -> bool {
        match (self.last_id, events.first_id) {
            (Some(last), Some(first)) => first == last + 1,
            _ => true,
        }
    }

    /// Resumes the stream at another server after the last event that the caller has. Returns the cause of the failure
    /// if that is not possible; `cause` says why the stream broke off.
    async fn resume(&mut self, cause: &str) -> Result<(), String> {
        let Some(last_id) = self.last_id else {
            return Err(format!("stream broken: {cause}"));
        };
        if !self.exchange.take_retry() {
            return Err(format!("stream broken: {cause}"));
        }
        match self.exchange.next_response(Some(last_id)).await {
            Ok(response) if response.head.status.is_success() => {
                self.server_stream = Some(ServerStream::new(*response).0);
                self.exchange.report.record_resume();
                Ok(())
            }
            Ok(response) => {
                let status = response.head.status;
                response.lease.close();
                Err(format!(
                    "stream broken: {cause}; resuming failed with status {status}"
                ))
            }
            Err(refusal) => Err(format!("stream broken: {cause}; {}", refusal.cause)),
        }
    }

    /// Records `result` for the current server, and closes the stream's connection and all idle ones to that server.
    fn abandon(&mut self, result: RunResult) {
        if let Some(server_stream) = self.server_stream.take() {
            self.exchange
                .gateway
                .pool
                .close_idle(server_stream.lease.server_id());
            server_stream.abandon(result);
        }
    }

    /// Records that the stream is complete, and returns its connection to the pool.
    fn finish(&mut self) {
        if let Some(server_stream) = self.server_stream.take() {
            server_stream.guard.record_result(RunResult::Good);
            self.exchange.record_sound();
            self.exchange.record_response_time();
            self.exchange
                .gateway
                .pool
                .put_idle(server_stream.lease, &server_stream.headers);
        }
        self.exchange.report.record_end(self.status, "answered", "");
    }

    /// Records that the stream ends early, and returns the error that breaks off the response to the caller.
    fn fail(&mut self, cause: &str) -> BodyError {
        self.exchange
            .report
            .record_end(self.status, "cut off", cause);
        cause.to_owned().into()
    }
}

impl ServerStream {
    fn new(response: ServerResponse) -> (Self, StatusCode) {
        let headers = &response.head.headers;
        let is_unframed =
            !headers.contains_key(CONTENT_LENGTH) && !headers.contains_key(TRANSFER_ENCODING);
        let server_stream = Self {
            is_unframed,
            has_events: false,
            body: response.body,
            headers: response.head.headers,
            lease: response.lease,
            guard: response.guard,
            splitter: EventSplitter::default(),
        };
        (server_stream, response.head.status)
    }

    /// Returns the next whole events. Part of an event is never passed on, since it could not be taken back if the
    /// stream is resumed at another server. If none is complete within `stall_limit`, the stream counts as broken.
    async fn next(&mut self, stall_limit: Option<Duration>, deadline: Instant) -> StreamItem {
        let until = stall_limit.map_or(deadline, |stall_limit| {
            (Instant::now() + stall_limit).min(deadline)
        });
        loop {
            let frame = match tokio::time::timeout_at(until, self.body.frame()).await {
                Err(_) if until == deadline => return StreamItem::DeadlineExceeded,
                Err(_) => return StreamItem::Broken("stalled".to_owned()),
                Ok(frame) => frame,
            };
            match frame {
                None if self.splitter.has_partial_event() => {
                    return StreamItem::Broken("event cut off".to_owned());
                }
                // A server that crashes before its first event ends such a stream like a complete one.
                None if self.is_unframed && !self.has_events => {
                    return StreamItem::Broken("ended before the first event".to_owned());
                }
                None => return StreamItem::End,
                Some(Err(err)) => return StreamItem::Broken(err.to_string()),
                Some(Ok(frame)) => {
                    self.guard.record_activity();
                    let Ok(bytes) = frame.into_data() else {
                        continue;
                    };
                    match self.splitter.push(&bytes) {
                        Ok(Some(events)) => {
                            self.has_events = true;
                            return StreamItem::Events(events);
                        }
                        Ok(None) => {}
                        Err(_) => return StreamItem::Broken("event without end".to_owned()),
                    }
                }
            }
        }
    }

    /// Records `result` for the server and closes the stream's connection.
    fn abandon(self, result: RunResult) {
        self.guard.record_result(result);
        self.lease.close();
    }
}
