//! Whether the log worked in its last use by this process; shared by all shards.

use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

/// Time between two calls that try a log that failed.
const PROBE_INTERVAL: Duration = Duration::from_millis(500);

/// Result of the last use of the log.
#[derive(Debug, Default)]
pub(super) struct LogHealth {
    /// Time from which the next call may try a log that failed; `None` while the log works.
    next_probe: Mutex<Option<Instant>>,
}

impl LogHealth {
    /// Returns whether a call should use the log. After a failure only one call in each interval tries whether the log
    /// works again; the others would only wait until their timeout.
    pub(super) fn should_try(&self) -> bool {
        let mut next = self.lock();
        let now = Instant::now();
        match *next {
            None => true,
            Some(at) if now < at => false,
            Some(_) => {
                *next = Some(now + PROBE_INTERVAL);
                true
            }
        }
    }

    /// Records whether an operation of the log succeeded.
    pub(super) fn record(&self, is_working: bool) {
        *self.lock() = (!is_working).then(|| Instant::now() + PROBE_INTERVAL);
    }

    fn lock(&self) -> MutexGuard<'_, Option<Instant>> {
        self.next_probe
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}
