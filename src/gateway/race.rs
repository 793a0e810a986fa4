//! The sends of one request that may still be answered, of which the caller gets the one that is answered first.

use super::crash_guard::Sent;
use super::delivery::SendEnd;
use super::loads::InFlightGuard;
use super::pool::Pool;
use super::progress::Progress;
use crate::decide::RunResult;
use crate::net::timeout_at;
use std::future::Future;
use std::future::poll_fn;
use std::pin::Pin;
use std::sync::Arc;
use std::task::Poll;
use std::time::Duration;
use tokio::time::Instant;

/// A send that has not ended. Dropping it closes its connection, which stops the work at the server.
pub(super) struct PendingSend {
    pub(super) sent: Sent,
    pub(super) guard: Arc<InFlightGuard>,
    pub(super) started_at: Instant,
    pub(super) progress: Arc<Progress>,
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

/// Time for which two servers may run a stream side by side after the second one has begun with it.
const MAX_OVERLAP: Duration = Duration::from_millis(300);

/// Interval at which sends that run side by side are looked at.
const OVERLAP_CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// The sends of one request that have not ended, in the order in which they started.
#[derive(Default)]
pub(super) struct Race {
    pending: Vec<PendingSend>,
    /// Names of servers whose sends were closed since another server runs the request.
    released: Vec<String>,
}

impl PendingSend {
    /// Returns when the send counts as silent, or as silent for another time.
    fn silent_from(&self, limits: SilenceLimits) -> Instant {
        let last_byte_at = self.progress.last_byte_at();
        let from = last_byte_at.map_or(self.started_at + limits.head, |at| at + limits.body);
        // The question whether an answer that has ended is whole may wait for a slot first.
        let ended_at = self.progress.ended_at();
        let from = ended_at.map_or(from, |at| at + 2 * limits.body);
        let again_from = self.silent_at.map(|at| at + limits.body);
        again_from.map_or(from, |again_from| from.max(again_from))
    }
}

impl Race {
    pub(super) fn push(&mut self, send: PendingSend) {
        self.pending.push(send);
    }

    pub(super) fn is_empty(&self) -> bool {
        self.pending.is_empty()
    }

    /// Closes the sends that have not ended, since another was answered. Returns the names of their servers, which did nothing
    /// wrong.
    pub(super) fn close(self) -> Vec<String> {
        let pending = self.pending.into_iter();
        let mut released = self.released;
        released.extend(pending.map(|send| send.sent.server.id));
        released
    }

    /// Waits for the next event. Without `limits`, silence is none.
    pub(super) async fn next(&mut self, limits: Option<SilenceLimits>, pool: &Pool) -> RaceEvent {
        loop {
            let silent_from = limits.and_then(|limits| {
                let pending = self.pending.iter();
                pending.map(|send| send.silent_from(limits)).min()
            });
            let overlaps_from = self.overlaps_from();
            let Some(until) = silent_from.into_iter().chain(overlaps_from).min() else {
                return self.next_end().await;
            };
            if let Ok(ended) = timeout_at(until, self.next_end()).await {
                return ended;
            }
            self.end_overlap();
            if let Some(limits) = limits
                && let Some(is_first) = self.mark_silent(limits, pool)
            {
                return RaceEvent::Silent { is_first };
            }
        }
    }

    /// Returns the position of the newest send whose server has begun with the stream, if others started before it, and when
    /// these must have ended.
    fn overlap(&self) -> Option<(usize, Instant)> {
        let newest = self.pending.iter().enumerate().skip(1).rev();
        let mut begun = newest.filter_map(|(index, send)| {
            let began_at = send.progress.event_began_at()?;
            Some((index, began_at + MAX_OVERLAP))
        });
        begun.next()
    }

    /// Returns when the sends are to be looked at again because two servers may run the stream side by side.
    fn overlaps_from(&self) -> Option<Instant> {
        let is_alone = self.pending.len() < 2;
        (!is_alone).then(|| Instant::now() + OVERLAP_CHECK_INTERVAL)
    }

    /// Closes the sends that started before one whose server has run the stream for too long beside them.
    fn end_overlap(&mut self) {
        if let Some((index, until)) = self.overlap()
            && until <= Instant::now()
        {
            let ended = self.pending.drain(..index);
            self.released.extend(ended.map(|send| send.sent.server.id));
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
                    if matches!(end, SendEnd::Delivered(..) | SendEnd::NotRun(_)) {
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
