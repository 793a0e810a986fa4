//! Passes a stream's events on as they come, and goes on at another server where that is allowed.

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
use std::time::Duration;
use tokio::time::Instant;

/// A stream's run at one server.
struct Run {
    body: Incoming,
    headers: HeaderMap,
    lease: Lease,
    guard: InFlightGuard,
    splitter: EventSplitter,
}

/// What a run gives next.
enum Piece {
    Events(Events),
    /// The stream is complete.
    End,
    /// The run gives nothing further, for this reason.
    Lost(String),
    /// The caller has no more time.
    Late,
}

/// A stream on its way to the caller.
struct Relay {
    exchange: Exchange,
    run: Option<Run>,
    last_id: Option<u64>,
    pending: Option<Bytes>,
    status: StatusCode,
}

/// A stream that was lost before its first event, with the cause.
pub(super) type LostStart = Box<(Exchange, String)>;

/// Waits for the first events and makes the answer of them; until then the request can still be sent elsewhere.
pub(super) async fn start(
    mut exchange: Exchange,
    response: Box<ServerResponse>,
) -> Result<Response<Body>, LostStart> {
    let (mut run, status) = Run::new(*response);
    let stall = exchange.stall_limit();
    let piece = run.next(stall, exchange.deadline).await;
    let (pending, last_id) = match piece {
        Piece::Events(events) => (Some(events.bytes), events.last_id),
        Piece::End => (None, None),
        Piece::Lost(cause) => {
            run.abandon(RunResult::Broken);
            return Err(Box::new((exchange, cause)));
        }
        Piece::Late => {
            run.abandon(RunResult::Silent);
            return Err(Box::new((exchange, "no event in time".to_owned())));
        }
    };
    exchange.report.record_first_byte();
    exchange.report.record_event(last_id);
    let mut response = Response::new(());
    *response.status_mut() = status;
    *response.headers_mut() = run.headers.clone();
    remove_hop_by_hop(response.headers_mut());
    // A resumed stream may differ in length from what the first server announced.
    response.headers_mut().remove(CONTENT_LENGTH);
    let is_complete = pending.is_none();
    let mut relay = Relay {
        exchange,
        run: Some(run),
        last_id,
        pending,
        status,
    };
    if is_complete {
        relay.finish();
    }
    let body = stream::unfold(relay, |mut relay| async move {
        let frame = relay.next().await?;
        Some((frame.map(Frame::data), relay))
    });
    let (head, ()) = response.into_parts();
    Ok(Response::from_parts(
        head,
        StreamBody::new(body).boxed_unsync(),
    ))
}

impl Relay {
    async fn next(&mut self) -> Option<Result<Bytes, BodyError>> {
        if let Some(bytes) = self.pending.take() {
            return Some(Ok(bytes));
        }
        loop {
            let stall = self.exchange.stall_limit();
            let deadline = self.exchange.deadline;
            let piece = self.run.as_mut()?.next(stall, deadline).await;
            match piece {
                Piece::Events(events) if self.follows(&events) => {
                    self.last_id = events.last_id.or(self.last_id);
                    self.exchange.report.record_event(events.last_id);
                    return Some(Ok(events.bytes));
                }
                Piece::Events(_) => {
                    self.abandon(RunResult::Broken);
                    return Some(Err(self.fail("events out of order")));
                }
                Piece::End => {
                    self.finish();
                    return None;
                }
                Piece::Late => {
                    self.abandon(RunResult::Silent);
                    return Some(Err(self.fail("time is over")));
                }
                Piece::Lost(cause) => {
                    self.abandon(RunResult::Broken);
                    if let Err(cause) = self.resume(&cause).await {
                        return Some(Err(self.fail(&cause)));
                    }
                }
            }
        }
    }

    /// Numbers must go on without a gap or a repeat, above all after a change of servers.
    fn follows(&self, events: &Events) -> bool {
        match (self.last_id, events.first_id) {
            (Some(last), Some(first)) => first == last + 1,
            _ => true,
        }
    }

    async fn resume(&mut self, cause: &str) -> Result<(), String> {
        let Some(last_id) = self.last_id else {
            return Err(format!("stream broken: {cause}"));
        };
        if !self.exchange.may_repeat() {
            return Err(format!("stream broken: {cause}"));
        }
        match self.exchange.next_answer(Some(last_id)).await {
            Ok(response) if response.head.status.is_success() => {
                self.run = Some(Run::new(*response).0);
                self.exchange.report.record_resume();
                Ok(())
            }
            Ok(response) => {
                let status = response.head.status;
                response.lease.close();
                Err(format!("stream broken: {cause}; going on gave {status}"))
            }
            Err(refusal) => Err(format!("stream broken: {cause}; {}", refusal.cause)),
        }
    }

    fn abandon(&mut self, result: RunResult) {
        if let Some(run) = self.run.take() {
            self.exchange.gateway.pool.close_idle(run.lease.server_id());
            run.abandon(result);
        }
    }

    fn finish(&mut self) {
        if let Some(run) = self.run.take() {
            run.guard.record_result(RunResult::Good);
            self.exchange.note_time();
            self.exchange.gateway.pool.put_idle(run.lease, &run.headers);
        }
        self.exchange.report.record_end(self.status, "answered", "");
    }

    fn fail(&mut self, cause: &str) -> BodyError {
        self.exchange
            .report
            .record_end(self.status, "cut off", cause);
        cause.to_owned().into()
    }
}

impl Run {
    fn new(response: ServerResponse) -> (Self, StatusCode) {
        let run = Self {
            body: response.body,
            headers: response.head.headers,
            lease: response.lease,
            guard: response.guard,
            splitter: EventSplitter::default(),
        };
        (run, response.head.status)
    }

    /// Gives whole events only: a part of one could not be taken back.
    async fn next(&mut self, stall: Option<Duration>, deadline: Instant) -> Piece {
        let until = stall.map_or(deadline, |stall| (Instant::now() + stall).min(deadline));
        loop {
            let frame = match tokio::time::timeout_at(until, self.body.frame()).await {
                Err(_) if until == deadline => return Piece::Late,
                Err(_) => return Piece::Lost("stalled".to_owned()),
                Ok(frame) => frame,
            };
            match frame {
                None if self.splitter.has_partial_event() => {
                    return Piece::Lost("event cut off".to_owned());
                }
                None => return Piece::End,
                Some(Err(err)) => return Piece::Lost(err.to_string()),
                Some(Ok(frame)) => {
                    self.guard.record_activity();
                    let Ok(bytes) = frame.into_data() else {
                        continue;
                    };
                    match self.splitter.push(&bytes) {
                        Ok(Some(events)) => return Piece::Events(events),
                        Ok(None) => {}
                        Err(_) => return Piece::Lost("event without end".to_owned()),
                    }
                }
            }
        }
    }

    fn abandon(self, result: RunResult) {
        self.guard.record_result(result);
        self.lease.close();
    }
}
