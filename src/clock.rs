//! A clock that keeps running while the machine is suspended.

use nix::time::ClockId;
use nix::time::clock_gettime;
use std::time::Duration;
use std::time::Instant;

/// A point in time of the boot-time clock (`CLOCK_BOOTTIME`).
///
/// [`Instant`] stops while the machine is suspended, so a process would take stale data for current data after a
/// resume. The age of a gateway's catalog state is therefore measured with this type (`docs/PLATFORM.md`).
#[derive(Clone, Copy, Debug, Default, Eq, Ord, PartialEq, PartialOrd)]
pub struct BootInstant(Duration);

impl BootInstant {
    /// Creates an instant from the time since the machine was booted.
    pub const fn from_boot(since_boot: Duration) -> Self {
        Self(since_boot)
    }

    /// Returns the current time of the clock.
    pub fn now() -> Self {
        match clock_gettime(ClockId::CLOCK_BOOTTIME) {
            Ok(time) => Self(Duration::from(time)),
            // A kernel without this clock does not suspend either, so a monotonic clock is as good.
            Err(_) => Self(monotonic_since_first_call()),
        }
    }

    /// Returns the time from `earlier` to this instant, or zero if `earlier` is later.
    pub fn since(self, earlier: Self) -> Duration {
        self.0.saturating_sub(earlier.0)
    }

    /// Returns the same instant on the clock of [`Instant`], which stops while the machine is suspended; an instant before
    /// the start of that clock becomes the present one.
    pub fn to_std(self) -> Instant {
        let now = Instant::now();
        now.checked_sub(Self::now().since(self)).unwrap_or(now)
    }

    /// Returns the instant that is `time` earlier, or the start of the clock if that would be before it.
    pub fn before(self, time: Duration) -> Self {
        Self(self.0.saturating_sub(time))
    }

    /// Returns the instant that is `time` later.
    pub fn plus(self, time: Duration) -> Self {
        Self(self.0.saturating_add(time))
    }
}

/// Returns the time since this function was first called.
fn monotonic_since_first_call() -> Duration {
    static FIRST_CALL: std::sync::OnceLock<Instant> = std::sync::OnceLock::new();
    FIRST_CALL.get_or_init(Instant::now).elapsed()
}
