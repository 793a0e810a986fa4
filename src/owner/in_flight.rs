//! Requests that a backend server works on, counted until it has surely done with them.
//!
//! Where the entry goes away the engine goes on, since the stream may be resumed. Such a request keeps its place, so
//! that the engine is not filled up a second time; see `docs/OWNERSHIP.md`.

use super::backend_state::InFlightGuard;
use super::checked_body::BodyGuard;
use crate::border::BackendError;
use crate::border::Engine;
use http_body_util::BodyExt;
use std::sync::Arc;
use std::time::Duration;
use tokio::runtime::Handle;

/// Time after which a stream that nobody has asked for again is cancelled.
const ABANDONED_STREAM_TIMEOUT: Duration = Duration::from_secs(10);
/// Pause after a connection to the engine was lost.
const RECONNECT_PAUSE: Duration = Duration::from_millis(100);

/// A request at a backend server, with the place that it takes there.
pub(super) struct InFlightRequest {
    guard: Option<InFlightGuard>,
    id: String,
    /// The engine, which goes on without a reader; a plain service's work ends with its connection.
    engine: Option<Arc<dyn Engine>>,
}

impl InFlightRequest {
    /// Counts the attempt `id` at `engine`, or at a plain service's server.
    pub(super) fn new(guard: InFlightGuard, id: &str, engine: Option<Arc<dyn Engine>>) -> Self {
        Self {
            guard: Some(guard),
            id: id.to_owned(),
            engine,
        }
    }

    /// Notes that the backend server has begun the request.
    pub(super) fn started(&mut self) {
        if let Some(guard) = &mut self.guard {
            guard.started();
        }
    }

    /// Gives the requests that the backend server has begun.
    pub(super) fn load(&self) -> u32 {
        self.guard.as_ref().map_or(0, InFlightGuard::load)
    }
}

impl BodyGuard for InFlightRequest {
    fn complete(mut self) {
        self.engine = None;
    }
}

impl Drop for InFlightRequest {
    /// Keeps the place of a request whose reader has left before the end.
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

/// Holds the place until the engine has done with the request, or has been told to give it up.
async fn hold_until_finished(engine: Arc<dyn Engine>, id: String, guard: InFlightGuard) {
    let draining = drain_stream(engine.as_ref(), &id);
    if tokio::time::timeout(ABANDONED_STREAM_TIMEOUT, draining)
        .await
        .is_err()
    {
        // An engine that can't be told reports its load all the same.
        let _ = engine.cancel(&id).await;
    }
    drop(guard);
}

/// Reads a stream to its end without keeping it; returns at once where the engine doesn't know it.
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
