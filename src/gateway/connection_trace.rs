//! Follows a direct connection to a server until its end, which may be that of the server's process
//! ([`ConnectionEnds`]).

use crate::clock::BootInstant;
use crate::decide::ConnectionEnds;
use crate::decide::OpenConnection;
use std::error::Error;
use std::io;
use std::io::ErrorKind;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

/// The ends of all direct connections to one server process.
pub(super) type SharedEnds = Arc<Mutex<ConnectionEnds>>;

/// One connection; clones follow the same one.
#[derive(Clone, Debug)]
pub(super) struct ConnectionTrace {
    ends: SharedEnds,
    /// `None` once the connection is over.
    connection: Arc<Mutex<Option<OpenConnection>>>,
}

impl ConnectionTrace {
    /// Follows a connection that has just been opened.
    pub(super) fn start(ends: &SharedEnds) -> Self {
        let opened_at = BootInstant::now();
        lock(ends).record_opened(opened_at);
        let connection = OpenConnection {
            opened_at,
            is_answered: false,
        };
        Self {
            ends: Arc::clone(ends),
            connection: Arc::new(Mutex::new(Some(connection))),
        }
    }

    /// Records that the server has answered a request on the connection.
    pub(super) fn record_answer(&self) {
        if let Some(connection) = &mut *lock(&self.connection) {
            lock(&self.ends).record_answer(*connection);
            connection.is_answered = true;
        }
    }

    /// Records that the connection is over as `result` tells.
    pub(super) fn record_end(&self, result: &hyper::Result<()>) {
        if let Some(connection) = lock(&self.connection).take() {
            let now = BootInstant::now();
            if is_ended_by_other_side(result) {
                lock(&self.ends).record_ended(connection, now);
            } else {
                lock(&self.ends).record_closed(connection, now);
            }
        }
    }

    /// Records that this side closes the connection, unless it is over.
    pub(super) fn record_closed(&self) {
        if let Some(connection) = lock(&self.connection).take() {
            lock(&self.ends).record_closed(connection, BootInstant::now());
        }
    }
}

/// Returns whether the other side closed or reset the connection. Bytes that are no answer, and a path that fails, are no such end.
fn is_ended_by_other_side(result: &hyper::Result<()>) -> bool {
    let Err(err) = result else { return true };
    let cause = err
        .source()
        .and_then(|cause| cause.downcast_ref::<io::Error>());
    let is_reset = cause.is_some_and(|cause| {
        matches!(
            cause.kind(),
            ErrorKind::ConnectionReset | ErrorKind::BrokenPipe | ErrorKind::UnexpectedEof
        )
    });
    is_reset || err.is_incomplete_message()
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
