//! The sends of one request that may still be answered, of which the caller gets the one that is answered first.

use super::crash_guard::Sent;
use super::delivery::SendEnd;
use super::loads::InFlightGuard;
use super::pool::Pool;
use crate::decide::RunResult;
use std::future::Future;
use std::future::poll_fn;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::OnceLock;
use std::task::Poll;
use std::time::Duration;
use tokio::time::Instant;

/// A send that has not ended. Dropping it closes its connection, which stops the work at the server.
pub(super) struct PendingSend {
    pub(super) sent: Sent,
    pub(super) guard: Arc<InFlightGuard>,
    pub(super) started_at: Instant,
    /// When the head of the response arrived.
    pub(super) head_at: Arc<OnceLock<Instant>>,
    /// When the server was last found to be silent.
    pub(super) silent_at: Option<Instant>,
    pub(super) end: Pin<Box<dyn Future<Output = SendEnd> + Send>>,
}

/// Times without a byte after which a send counts as silent.
#[derive(Clone, Copy, Debug)]
pub(super) struct SilenceLimits {
    /// Before the head of the response.
    pub(super) head: Duration,
    /// After the head, or between the events of a stream.
    pub(super) body: Duration,
}

/// What happened to one of the sends.
pub(super) enum RaceEvent {
    /// It ended.
    Ended(Box<Sent>, SendEnd),
    /// It has been silent for as long as the limit or, unless `is_first`, for another time as long.
    Silent { is_first: bool },
}

/// The sends of one request that have not ended.
#[derive(Default)]
pub(super) struct Race {
    pending: Vec<PendingSend>,
}

impl PendingSend {
    /// Returns when the send counts as silent, or as silent for another time.
    fn silent_from(&self, limits: SilenceLimits) -> Instant {
        if let Some(at) = self.silent_at {
            return at + limits.body;
        }
        let head_at = self.head_at.get();
        head_at.map_or(self.started_at + limits.head, |at| *at + limits.body)
    }
}

impl Race {
    pub(super) fn push(&mut self, send: PendingSend) {
        self.pending.push(send);
    }

    pub(super) fn is_empty(&self) -> bool {
        self.pending.is_empty()
    }

    /// Waits for the next event. Without `limits`, silence is none.
    pub(super) async fn next(&mut self, limits: Option<SilenceLimits>, pool: &Pool) -> RaceEvent {
        loop {
            let starts = |limits| {
                let pending = self.pending.iter();
                pending.map(move |send| send.silent_from(limits)).min()
            };
            let Some(until) = limits.and_then(starts) else {
                return self.next_end().await;
            };
            if let Ok(ended) = tokio::time::timeout_at(until, self.next_end()).await {
                return ended;
            }
            if let Some(limits) = limits
                && let Some(is_first) = self.mark_silent(limits, pool)
            {
                return RaceEvent::Silent { is_first };
            }
        }
    }

    /// Marks the sends that are silent now. Returns whether one of them was not before, or `None` if there are none.
    fn mark_silent(&mut self, limits: SilenceLimits, pool: &Pool) -> Option<bool> {
        let now = Instant::now();
        let mut is_first = None;
        for send in &mut self.pending {
            if send.silent_from(limits) <= now {
                let is_new = send.silent_at.is_none();
                if is_new {
                    // Idle connections to a server that has gone would be silent too.
                    pool.close_idle(&send.sent.server.id);
                    send.guard.record_result(RunResult::Silent);
                }
                send.silent_at = Some(now);
                is_first = Some(is_new || is_first.unwrap_or(false));
            }
        }
        is_first
    }

    /// Waits until one of the sends has ended; forever if there is none.
    async fn next_end(&mut self) -> RaceEvent {
        poll_fn(|cx| {
            for index in 0..self.pending.len() {
                if let Poll::Ready(end) = self.pending[index].end.as_mut().poll(cx) {
                    let send = self.pending.remove(index);
                    if matches!(end, SendEnd::Delivered(..)) {
                        send.guard.record_recovery();
                    }
                    return Poll::Ready(RaceEvent::Ended(Box::new(send.sent), end));
                }
            }
            Poll::Pending
        })
        .await
    }
}
