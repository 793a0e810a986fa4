//! Resumes streams after their owner or a connection is lost, or a connection stalls.
//!
//! The entry counts the bytes that it has passed on. When the answer breaks off or stalls, it requests the rest from
//! the engine, starting at the next byte, either through the owner or directly. Where that fails, the caller gets an
//! error event and the connection ends with an error, so that a truncated answer never looks complete.

use crate::border::generated::peer::HopHead;
use crate::hop::Dispatch;
use crate::net::Body;
use crate::net::BodyError;
use crate::outcome::NotRun;
use crate::outcome::Refusal;
use crate::owner::Attempt;
use crate::owner::STREAM_END;
use crate::owner::STREAMS_PATH;
use crate::timeline::Event;
use crate::timeline::EventKind;
use crate::timeline::Timeline;
use bytes::Bytes;
use futures_util::stream;
use http_body_util::BodyExt;
use http_body_util::StreamBody;
use hyper::body::Frame;
use rand::RngExt;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;
use uuid::Uuid;

/// Maximum number of consecutive failed attempts to resume.
const MAX_FAILURES: u32 = 7;
/// Shortest pause between two attempts to resume; the longest is twice as long. Both double with each further failure.
const FIRST_RETRY_PAUSE: Duration = Duration::from_millis(25);
/// Timeout for the head of a resumed answer.
const RESUME_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Time for the error event to reach the caller before the connection ends with an error.
const ERROR_FLUSH_TIME: Duration = Duration::from_millis(20);
/// Last event of a stream that could not be resumed.
const ERROR_EVENT: &str = "\n\ndata: {\"error\":{\"type\":\"unknown\",\"code\":\"connection-lost\",\
     \"message\":\"The answer broke off and could not be resumed.\"}}\n\n";

/// Parameters for resuming one stream.
pub(super) struct ResumePlan {
    /// Sends attempts to owners.
    pub(super) dispatch: Arc<dyn Dispatch>,
    /// Timeline that receives events.
    pub(super) timeline: Arc<Timeline>,
    /// Head of the attempt that started the stream.
    pub(super) head: HopHead,
    /// Time without a byte after which a connection counts as stalled.
    pub(super) stall_timeout: Duration,
    /// Time without a byte after which the stream is abandoned.
    pub(super) give_up_after: Duration,
}

/// A stream that is being sent to the caller.
struct CallerStream {
    plan: ResumePlan,
    /// Body of the current connection.
    body: Body,
    /// Number of bytes passed on to the caller, which is the offset at which a resumed answer starts.
    delivered: u64,
    /// Last bytes passed on, at most as many as [`STREAM_END`] has; equal to it once the answer is complete.
    tail: Vec<u8>,
    /// Consecutive failed attempts to resume; data sets it back to 0.
    failures: u32,
    /// Time of the last data, or of the start if there was none.
    last_byte: Instant,
    phase: Phase,
}

/// Progress of a [`CallerStream`].
#[derive(Clone, Copy, Eq, PartialEq)]
enum Phase {
    /// The stream passes on data.
    Open,
    /// The error event has been passed on; the connection ends with an error next.
    ErrorSent,
    /// The stream has ended, with or without an error.
    Ended,
}

/// Wraps `body` in a body that is resumed according to `plan` when it breaks off.
pub(super) fn resumable(body: Body, plan: ResumePlan) -> Body {
    let stream_state = CallerStream {
        plan,
        body,
        delivered: 0,
        tail: Vec::new(),
        failures: 0,
        last_byte: Instant::now(),
        phase: Phase::Open,
    };
    StreamBody::new(stream::unfold(stream_state, CallerStream::next_frame)).boxed_unsync()
}

impl CallerStream {
    async fn next_frame(mut self) -> Option<(Result<Frame<Bytes>, BodyError>, Self)> {
        match self.phase {
            Phase::Open => {}
            Phase::ErrorSent => {
                tokio::time::sleep(ERROR_FLUSH_TIME).await;
                self.phase = Phase::Ended;
                return Some((
                    Err("the stream broke off and could not be resumed".into()),
                    self,
                ));
            }
            Phase::Ended => return None,
        }
        loop {
            match tokio::time::timeout(self.plan.stall_timeout, self.body.frame()).await {
                Ok(Some(Ok(frame))) => {
                    if let Some(data) = frame.data_ref() {
                        self.record_data(data);
                    }
                    return Some((Ok(frame), self));
                }
                // The answer is complete, so an end, a lost connection or a stall after it is no failure.
                _ if self.tail == STREAM_END => {
                    self.phase = Phase::Ended;
                    return None;
                }
                _ => {}
            }
            if !self.resume().await {
                self.phase = Phase::ErrorSent;
                let event = Frame::data(Bytes::from_static(ERROR_EVENT.as_bytes()));
                return Some((Ok(event), self));
            }
        }
    }

    fn record_data(&mut self, data: &[u8]) {
        self.delivered += data.len() as u64;
        self.failures = 0;
        self.last_byte = Instant::now();
        let tail_len = STREAM_END.len();
        self.tail
            .extend_from_slice(&data[data.len().saturating_sub(tail_len)..]);
        let surplus = self.tail.len().saturating_sub(tail_len);
        self.tail.drain(..surplus);
    }

    /// Requests the rest of the stream and replaces the lost body; returns whether that succeeded.
    async fn resume(&mut self) -> bool {
        while self.failures < MAX_FAILURES && self.last_byte.elapsed() < self.plan.give_up_after {
            if self.failures > 0 {
                tokio::time::sleep(retry_pause(self.failures)).await;
            }
            let attempt = self.build_attempt("GET", Some(self.delivered));
            // The owner itself may be lost, so every second attempt goes directly from this node to the engine.
            let sent = if self.failures.is_multiple_of(2) {
                self.plan.dispatch.dispatch(&attempt).await
            } else {
                self.plan.dispatch.dispatch_direct(&attempt).await
            };
            match sent {
                Ok(answer) if answer.status == 200 => {
                    self.record_resumed();
                    self.body = answer.body;
                    return true;
                }
                Err(Refusal::NotRun {
                    reason: NotRun::RefusedByBackend | NotRun::NoBackend,
                    ..
                }) => return false,
                _ => self.failures += 1,
            }
        }
        false
    }

    fn record_resumed(&self) {
        let head = &self.plan.head;
        let resumed = Event::new(EventKind::Resumed)
            .request(&head.request)
            .attempt(&head.id)
            .backend(&head.backend);
        self.plan.timeline.event(resumed);
    }

    /// Builds an attempt that resumes or cancels the stream at the engine.
    fn build_attempt(&self, method: &str, resume_from: Option<u64>) -> Attempt {
        let original = &self.plan.head;
        let head = HopHead {
            id: Uuid::now_v7().to_string(),
            method: method.to_owned(),
            path: format!("{STREAMS_PATH}{}", original.id),
            resume_from,
            body_len: 0,
            deadline_ms: RESUME_TIMEOUT.as_millis() as u64,
            hlc: self.plan.timeline.stamp(),
            ..original.clone()
        };
        Attempt {
            head,
            body: Bytes::new(),
        }
    }
}

impl Drop for CallerStream {
    /// Cancels the engine's work when the caller disconnects before the end.
    fn drop(&mut self) {
        if self.phase == Phase::Ended || self.tail == STREAM_END {
            return;
        }
        let Ok(runtime) = tokio::runtime::Handle::try_current() else {
            return;
        };
        let attempt = self.build_attempt("DELETE", None);
        let dispatch = Arc::clone(&self.plan.dispatch);
        runtime.spawn(async move {
            // An engine that can't be reached cancels the abandoned stream by itself.
            let _ = dispatch.dispatch(&attempt).await;
        });
    }
}

/// Returns a random pause before the next attempt to resume, after `failures` failed ones.
fn retry_pause(failures: u32) -> Duration {
    let max_pause = FIRST_RETRY_PAUSE * 2u32.saturating_pow(failures);
    rand::rng().random_range(max_pause / 2..=max_pause)
}
