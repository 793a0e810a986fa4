//! The hybrid logical clock of one process.

use prometheus::IntCounter;
use siphasher::sip::SipHasher13;
use std::hash::Hasher;
use std::num::NonZeroU64;
use std::str::FromStr;
use std::time::Duration;
use uhlc::HLC;
use uhlc::HLCBuilder;
use uhlc::ID;
use uhlc::NTP64;
use uhlc::Timestamp;

/// Hybrid logical clock of a process. Each stamp is greater than all stamps that it issued or observed before.
pub(super) struct Clock {
    hlc: HLC,
    dropped_stamps: IntCounter,
}

impl Clock {
    /// Creates the clock of the node named `node`. Observed stamps that are more than `max_drift` ahead of the host's
    /// clock are dropped.
    ///
    /// # Panics
    ///
    /// Never in practice: the counter's name is constant and valid.
    pub(super) fn new(node: &str, max_drift: Duration) -> Self {
        Self::with_time_source(node, max_drift, uhlc::system_time_clock)
    }

    /// Creates a clock that reads the physical time from `time`.
    pub(super) fn with_time_source(node: &str, max_drift: Duration, time: fn() -> NTP64) -> Self {
        let hlc = HLCBuilder::new()
            .with_id(clock_id(node))
            .with_max_delta(max_drift)
            .with_clock(time)
            .build();
        let dropped_stamps = IntCounter::new(
            "currantbend_clock_stamps_dropped_total",
            "Stamps of messages that were too far ahead of this host's clock.",
        );
        Self {
            hlc,
            dropped_stamps: dropped_stamps.expect("the name is valid"),
        }
    }

    /// Returns the counter of dropped stamps.
    pub(super) fn dropped_stamps(&self) -> &IntCounter {
        &self.dropped_stamps
    }

    /// Returns a stamp that is greater than all stamps before it.
    pub(super) fn stamp(&self) -> String {
        self.hlc.new_timestamp().to_string()
    }

    /// Advances the clock past the stamp of another process.
    ///
    /// Returns `false` if the stamp was dropped because it is too far ahead of this host's clock. A text that is not a
    /// stamp is ignored and returns `true`.
    pub(super) fn observe(&self, stamp: &str) -> bool {
        let Ok(stamp) = Timestamp::from_str(stamp) else {
            return true;
        };
        let is_accepted = self.hlc.update_with_timestamp(&stamp).is_ok();
        if !is_accepted {
            self.dropped_stamps.inc();
        }
        is_accepted
    }
}

/// Derives the clock's id from the node's name. The id orders stamps with equal times, so their order stays the same
/// when a node restarts.
fn clock_id(node: &str) -> ID {
    let mut hasher = SipHasher13::new();
    hasher.write(node.as_bytes());
    let id = NonZeroU64::new(hasher.finish()).unwrap_or(NonZeroU64::MIN);
    ID::from(id)
}
