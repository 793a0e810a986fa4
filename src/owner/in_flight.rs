//! Requests at a backend server, counted as in flight until the server has certainly finished them.
//!
//! When the entry disconnects, the engine continues, since the stream may be resumed. Such a request stays counted, so
//! that the owner does not overfill the engine; see `docs/OWNERSHIP.md`.

use super::backend_state::InFlightGuard;
use super::checked_body::BodyGuard;
use crate::border::BackendError;
use crate::border::Engine;
use http_body_util::BodyExt;
use std::sync::Arc;
use std::time::Duration;
use tokio::runtime::Handle;

/// Time after which a stream that no entry has resumed is cancelled.
const ABANDONED_STREAM_TIMEOUT: Duration = Duration::from_secs(10);
/// Pause before reconnecting after the connection to the engine was lost.
const RECONNECT_PAUSE: Duration = Duration::from_millis(100);

/// A request at a backend server, with the guard that counts it.
pub(super) struct InFlightRequest {
    /// Counts the request while it is held.
    guard: Option<InFlightGuard>,
    /// Id of the attempt that started the request, by which the engine knows its stream.
    id: String,
    /// The engine, which continues without a reader; `None` for a plain service, whose work ends with its connection.
    engine: Option<Arc<dyn Engine>>,
}

impl InFlightRequest {
    /// Creates a request for the attempt `id`; `engine` is `None` for a plain service.
    pub(super) fn new(guard: InFlightGuard, id: &str, engine: Option<Arc<dyn Engine>>) -> Self {
        Self {
            guard: Some(guard),
            id: id.to_owned(),
            engine,
        }
    }

    /// Records that the backend server has started the request.
    pub(super) fn record_started(&mut self) {
        if let Some(guard) = &mut self.guard {
            guard.record_started();
        }
    }

    /// Returns the number of requests that the backend server has started.
    pub(super) fn load(&self) -> u32 {
        self.guard.as_ref().map_or(0, InFlightGuard::started_load)
    }
}

impl BodyGuard for InFlightRequest {
    fn complete(mut self) {
        self.engine = None;
    }
}

impl Drop for InFlightRequest {
    /// Keeps a request counted if its reader disconnects before the end.
    fn drop(&mut self) {
        let (Some(engine), Some(guard)) = (self.engine.take(), self.guard.take()) else {
            return;
        };
        let id = std::mem::take(&mut self.id);
        if let Ok(runtime) = Handle::try_current() {
            runtime.spawn(hold_until_finished(engine, id, guard));
        }
    }
}

/// Holds the guard until the engine has finished the request, or was asked to cancel it.
async fn hold_until_finished(engine: Arc<dyn Engine>, id: String, guard: InFlightGuard) {
    let draining = drain_stream(engine.as_ref(), &id);
    if tokio::time::timeout(ABANDONED_STREAM_TIMEOUT, draining)
        .await
        .is_err()
    {
        // If the engine can't be reached, its load reports still show the request.
        let _ = engine.cancel(&id).await;
    }
    drop(guard);
}

/// Reads and discards a stream to its end; returns at once if the engine does not know the stream.
async fn drain_stream(engine: &dyn Engine, id: &str) {
    loop {
        match engine.resume(id, 0).await {
            Ok(mut answer) => loop {
                match answer.body.frame().await {
                    Some(Ok(_)) => {}
                    Some(Err(_)) => break,
                    None => return,
                }
            },
            Err(BackendError::NotRun) => return,
            Err(_) => {}
        }
        tokio::time::sleep(RECONNECT_PAUSE).await;
    }
}
