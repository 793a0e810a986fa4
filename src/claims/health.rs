//! Whether the log works, as this process has seen it last; one for all its shards.

use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

/// Time between two calls that find out whether a failed log works again.
const PROBE_PAUSE: Duration = Duration::from_millis(500);

/// What was seen of the log last.
#[derive(Debug, Default)]
pub(super) struct Health {
    /// When the next call may try a log that failed; nothing while it works.
    next_probe: Mutex<Option<Instant>>,
}

impl Health {
    /// Tells whether a call should wait for the log. Where it failed, one call now and then finds out whether it works
    /// again; waiting would help none of the others.
    pub(super) fn may_try(&self) -> bool {
        let mut next = self.lock();
        let now = Instant::now();
        match *next {
            None => true,
            Some(at) if now < at => false,
            Some(_) => {
                *next = Some(now + PROBE_PAUSE);
                true
            }
        }
    }

    /// Notes whether the log did what it was asked.
    pub(super) fn note(&self, is_working: bool) {
        *self.lock() = (!is_working).then(|| Instant::now() + PROBE_PAUSE);
    }

    fn lock(&self) -> MutexGuard<'_, Option<Instant>> {
        self.next_probe
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}
