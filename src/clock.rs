//! Time that also passes while the machine is suspended.

use nix::time::ClockId;
use nix::time::clock_gettime;
use std::time::Duration;
use std::time::Instant;

/// A moment of the boot-time clock.
///
/// The steady clock stands still while a machine is suspended, so a woken process would take old knowledge for new;
/// ages of beliefs are therefore measured in moments (`docs/PLATFORM.md`).
#[derive(Clone, Copy, Debug, Default, Eq, Ord, PartialEq, PartialOrd)]
pub struct Moment(Duration);

impl Moment {
    /// Makes a moment from the time since the machine was started.
    pub const fn from_boot(since_boot: Duration) -> Self {
        Self(since_boot)
    }

    /// Reads the clock.
    pub fn now() -> Self {
        match clock_gettime(ClockId::CLOCK_BOOTTIME) {
            Ok(time) => Self(Duration::from(time)),
            // A kernel without this clock has no suspension to count either.
            Err(_) => Self(steady_since_start()),
        }
    }

    /// Gives the time from `earlier` to this moment, zero where `earlier` is later.
    pub fn since(self, earlier: Self) -> Duration {
        self.0.saturating_sub(earlier.0)
    }

    /// Gives the moment that is `time` earlier, or the start of the clock where there is none.
    pub fn before(self, time: Duration) -> Self {
        Self(self.0.saturating_sub(time))
    }

    /// Gives the moment that is `time` later.
    pub fn plus(self, time: Duration) -> Self {
        Self(self.0.saturating_add(time))
    }
}

fn steady_since_start() -> Duration {
    static START: std::sync::OnceLock<Instant> = std::sync::OnceLock::new();
    START.get_or_init(Instant::now).elapsed()
}
