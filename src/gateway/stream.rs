//! Passes the events of a stream to the caller as they arrive, and goes on at another server where a stream breaks off or
//! stays silent, if the route allows it.

use super::delivery::Delivery;
use super::delivery::SendEnd;
use super::delivery::next_events;
use super::dialect::RateLimitNotice;
use super::events::Events;
use super::exchange::Exchange;
use super::headers::remove_hop_by_hop;
use super::progress::Progress;
use super::race::PendingSend;
use super::race::Race;
use super::server_stream::ServerStream;
use super::server_stream::StreamItem;
use super::stream_record::BodyEnd;
use crate::decide::RunResult;
use crate::net::Body;
use crate::net::BodyError;
use crate::net::CollectedSize;
use bytes::Bytes;
use futures_util::stream;
use http_body_util::BodyExt;
use http_body_util::StreamBody;
use hyper::HeaderMap;
use hyper::Response;
use hyper::StatusCode;
use hyper::body::Frame;
use hyper::header::CONTENT_ENCODING;
use hyper::header::CONTENT_LENGTH;
use hyper::header::CONTENT_TYPE;
use hyper::header::HeaderValue;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::Instant;

/// What the answers that carry one stream have in common.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(super) struct StreamKind {
    status: StatusCode,
    /// Type of the body without parameters, in lower case; empty if the answer names none.
    media_type: String,
    /// Content coding of the body, if it has one.
    coding: Option<HeaderValue>,
}

impl StreamKind {
    /// Returns the kind of an answer with this status and `headers`.
    pub(super) fn of(status: StatusCode, headers: &HeaderMap) -> Self {
        let media_type = headers.get(CONTENT_TYPE).map(HeaderValue::as_bytes);
        let media_type = media_type.and_then(|value| value.split(|byte| *byte == b';').next());
        let media_type = String::from_utf8_lossy(media_type.unwrap_or_default());
        Self {
            status,
            media_type: media_type.trim().to_ascii_lowercase(),
            coding: headers.get(CONTENT_ENCODING).cloned(),
        }
    }
}

/// The stream to the caller, which may come from several servers in turn.
struct CallerStream {
    exchange: Exchange,
    /// Stream of the current server; `None` once it has ended or broken off.
    server_stream: Option<Box<ServerStream>>,
    /// Id of the last event that the caller has, after which a broken stream is resumed; `None` if no event had an id.
    last_id: Option<u64>,
    /// Events that have arrived and are passed on next.
    next_events: Option<Events>,
    /// Status of the response, for the request's report.
    status: StatusCode,
    /// What tells the end of the first server's stream.
    first_end: BodyEnd,
    /// Size of what has been passed on, if the caller gets it only when the stream is complete.
    collected: Option<CollectedSize>,
}

/// Builds the response to the caller from a server's stream, of which the first events have arrived or, if `events` is
/// `None`, the end.
pub(super) fn pass_on(
    mut exchange: Exchange,
    server_stream: Box<ServerStream>,
    events: Option<Events>,
) -> Response<Body> {
    exchange.report.record_first_byte();
    exchange.stream_kind = Some(StreamKind::of(server_stream.status, &server_stream.headers));
    if events.is_some() {
        exchange.record_stream_start();
    }
    let (mut head, ()) = Response::new(()).into_parts();
    head.status = server_stream.status;
    head.headers = server_stream.headers.clone();
    remove_hop_by_hop(&mut head.headers);
    // A resumed stream may differ in length from what the first server announced.
    head.headers.remove(CONTENT_LENGTH);
    // A missing last chunk tells a break also behind relays that close a connection where they should reset it.
    exchange.report.record_framing(BodyEnd::LastChunk);
    let first_end = server_stream.body_end();
    let collected = exchange.report.is_collected().then(CollectedSize::default);
    let mut caller_stream = CallerStream {
        last_id: exchange.named_event(),
        exchange,
        status: server_stream.status,
        server_stream: Some(server_stream),
        next_events: None,
        first_end,
        collected,
    };
    caller_stream.accept(events);
    let body = stream::unfold(caller_stream, |mut caller_stream| async move {
        let frame = caller_stream.next().await?;
        Some((frame.map(Frame::data), caller_stream))
    });
    Response::from_parts(head, StreamBody::new(body).boxed_unsync())
}

impl CallerStream {
    /// Returns the next events for the caller, `None` after the last ones, or an error that breaks off the response. A
    /// broken stream is resumed at another server if possible.
    async fn next(&mut self) -> Option<Result<Bytes, BodyError>> {
        loop {
            if let Some(events) = self.next_events.take() {
                let size = self.collected.as_mut();
                if size.is_some_and(|size| size.add(&events.bytes).is_err()) {
                    self.abandon(RunResult::Good);
                    return Some(Err(self.fail("too long for HTTP/1.0")));
                }
                return Some(Ok(events.bytes));
            }
            // Without the id of an event, another server would begin anew.
            let stall_limit = self.last_id.and(self.exchange.stall_limit());
            let deadline = self.exchange.deadline;
            let server_stream = self.server_stream.as_mut()?;
            let cause = match server_stream.next(stall_limit, deadline).await {
                StreamItem::Events(events) if events.follows(self.last_id) => {
                    self.accept(Some(events));
                    continue;
                }
                StreamItem::End if self.is_end_known() => {
                    let rest = self.rest().await;
                    self.accept(rest);
                    continue;
                }
                StreamItem::End => {
                    if let Err(cause) = self.ask_for_rest().await {
                        return Some(Err(self.fail(&cause)));
                    }
                    continue;
                }
                StreamItem::DeadlineExceeded => {
                    self.abandon(RunResult::Silent);
                    return Some(Err(self.fail("time is over")));
                }
                StreamItem::Silent => {
                    let race = self.race_with_silent(stall_limit.unwrap_or_default());
                    if let Err(cause) = self.go_on(race).await {
                        return Some(Err(self.fail(&cause)));
                    }
                    continue;
                }
                StreamItem::Events(_) => "events out of order".to_owned(),
                StreamItem::Broken(cause) => cause,
            };
            self.abandon(RunResult::Broken);
            if let Err(end) = self.resume(&cause).await {
                return Some(Err(self.fail(&end)));
            }
        }
    }

    /// Goes on at another server after the present one broke off for `cause`; returns how the response ends if that is
    /// not possible.
    async fn resume(&mut self, cause: &str) -> Result<(), String> {
        let sent = self.exchange.crash_guard.sent().cloned();
        if let Some(sent) = sent
            && self.exchange.report_break(&sent).await
        {
            return Err(format!("server crashed: {cause}"));
        }
        if self.last_id.is_none() || !self.exchange.take_retry() {
            return Err(format!("stream broken: {cause}"));
        }
        let resumed = self.go_on(Race::default()).await;
        resumed.map_err(|end| format!("stream broken: {cause}; {end}"))
    }

    /// Returns whether the end of the present server's stream is told by as much as that of the first server's: the end of a
    /// connection can't end a stream that began in chunks.
    fn is_end_known(&self) -> bool {
        let server_stream = self.server_stream.as_ref();
        let end = server_stream.map(|server_stream| server_stream.body_end());
        self.first_end == BodyEnd::Connection || end != Some(BodyEnd::Connection)
    }

    /// Returns what follows the present server's stream, which has come to an end: events if only its connection told the end and
    /// the server, asked once more, sends some, which then go on with the stream.
    async fn rest(&mut self) -> Option<Events> {
        let server_stream = self.server_stream.as_ref()?;
        if server_stream.body_end() != BodyEnd::Connection {
            return None;
        }
        let answer = self.exchange.ask_for_rest(self.last_id).await;
        let Some(SendEnd::Delivered(Delivery::Stream(stream, events), _)) = answer else {
            return None;
        };
        if let Some(ended) = self.server_stream.replace(stream) {
            ended.abandon(RunResult::Good);
        }
        events
    }

    /// Asks another server for what follows, since the present one's stream has come to an end that is not known to be that of
    /// the stream. Returns how the response ends if that is not possible.
    async fn ask_for_rest(&mut self) -> Result<(), String> {
        if let Some(server_stream) = self.server_stream.take() {
            server_stream.guard().record_result(RunResult::Good);
        }
        if self.last_id.is_none() || !self.exchange.take_retry() {
            return Err("end of stream unknown".to_owned());
        }
        let resumed = self.go_on(Race::default()).await;
        resumed.map_err(|end| format!("end of stream unknown: {end}"))
    }

    /// Returns a race with the present server, which has been silent for `time`, as its only entry.
    fn race_with_silent(&mut self, time: Duration) -> Race {
        let mut race = Race::default();
        let sent = self.exchange.crash_guard.sent().cloned();
        if let (Some(mut server_stream), Some(sent)) = (self.server_stream.take(), sent) {
            let now = Instant::now();
            let silent_since = now.checked_sub(time).unwrap_or(now);
            let progress = Arc::new(Progress::since(silent_since));
            server_stream.set_progress(&progress);
            let guard = Arc::clone(server_stream.guard());
            let gateway = Arc::clone(&self.exchange.gateway);
            let (last_id, deadline) = (self.last_id, self.exchange.deadline);
            race.push(PendingSend {
                sent,
                guard,
                started_at: silent_since,
                progress,
                silent_at: None,
                end: Box::pin(async move {
                    let no_news = RateLimitNotice::Unlimited;
                    next_events(&gateway, server_stream, last_id, deadline, no_news).await
                }),
            });
        }
        race
    }

    /// Waits for the next events from the servers in `race` or another one. Returns the cause if none sends any.
    async fn go_on(&mut self, race: Race) -> Result<(), String> {
        let sent = self.exchange.crash_guard.sent();
        let server = sent.map(|sent| sent.server.id.clone());
        let delivery = self.exchange.next_delivery(self.last_id, race).await;
        match delivery {
            Ok(Delivery::Stream(server_stream, events)) => {
                if server.as_deref() != Some(server_stream.server_id()) {
                    self.exchange.report.record_resume();
                }
                self.server_stream = Some(server_stream);
                // Otherwise the end comes once more with the next read.
                if events.is_some() || self.is_end_known() {
                    self.accept(events);
                }
                Ok(())
            }
            Ok(Delivery::Whole(response)) => Err(format!("status {}", response.head.status)),
            Err(refusal) if refusal.detail.is_empty() => Err(refusal.cause.to_owned()),
            Err(refusal) => Err(format!("{}: {}", refusal.cause, refusal.detail)),
        }
    }

    /// Takes events as the next ones for the caller, or the end of the stream if there are none.
    fn accept(&mut self, events: Option<Events>) {
        let Some(events) = events else {
            self.finish();
            return;
        };
        self.last_id = events.last_id.or(self.last_id);
        if let Some(server_stream) = &self.server_stream {
            let stream = &mut self.exchange.report.stream;
            stream.record_events(server_stream.server_id(), &events);
        }
        self.exchange.record_progress();
        self.next_events = Some(events);
    }

    /// Records `result` for the current server, and closes the stream's connection and all idle ones to that server.
    fn abandon(&mut self, result: RunResult) {
        if let Some(server_stream) = self.server_stream.take() {
            self.exchange.gateway.abandon(*server_stream, result);
        }
    }

    /// Records that the stream is complete, and returns its connection to the pool.
    fn finish(&mut self) {
        if let Some(server_stream) = self.server_stream.take() {
            let end = server_stream.body_end();
            self.exchange.report.stream.record_end(end);
            server_stream.guard().record_result(RunResult::Good);
            self.exchange.record_sound();
            self.exchange.record_whole_answer();
            self.exchange.record_response_time();
            let (lease, headers) = server_stream.into_connection();
            self.exchange.gateway.pool.put_idle(lease, &headers);
        }
        self.exchange.report.record_end(self.status, "answered", "");
    }

    /// Records that the stream ends early, and returns the error that breaks off the response to the caller.
    fn fail(&mut self, cause: &str) -> BodyError {
        let report = &mut self.exchange.report;
        let status = if report.is_collected() {
            StatusCode::BAD_GATEWAY
        } else {
            self.status
        };
        report.record_end(status, "cut off", cause);
        cause.to_owned().into()
    }
}
