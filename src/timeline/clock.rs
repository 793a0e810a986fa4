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

/// Stamps what a process does; a stamp is greater than every one given or observed before.
pub(super) struct Clock {
    hlc: HLC,
    dropped: IntCounter,
}

impl Clock {
    /// Makes the clock of the node named `node`; stamps more than `max_drift` ahead of the host's clock are dropped.
    ///
    /// # Panics
    ///
    /// Never in practice: the counter's name is constant and valid.
    pub(super) fn new(node: &str, max_drift: Duration) -> Self {
        Self::with_time_source(node, max_drift, uhlc::system_time_clock)
    }

    /// Makes a clock over another source of physical time.
    pub(super) fn with_time_source(node: &str, max_drift: Duration, time: fn() -> NTP64) -> Self {
        let hlc = HLCBuilder::new()
            .with_id(id_of(node))
            .with_max_delta(max_drift)
            .with_clock(time)
            .build();
        let dropped = IntCounter::new(
            "currantbend_clock_stamps_dropped_total",
            "Stamps of messages that were too far ahead of this host's clock.",
        );
        Self {
            hlc,
            dropped: dropped.expect("the name is valid"),
        }
    }

    /// Gives the counter of dropped stamps.
    pub(super) fn dropped(&self) -> &IntCounter {
        &self.dropped
    }

    /// Gives a stamp that is greater than all before it.
    pub(super) fn stamp(&self) -> String {
        self.hlc.new_timestamp().to_string()
    }

    /// Takes in another process's stamp; returns whether it was within the drift, or no stamp at all.
    pub(super) fn observe(&self, stamp: &str) -> bool {
        let Ok(stamp) = Timestamp::from_str(stamp) else {
            return true;
        };
        let taken = self.hlc.update_with_timestamp(&stamp).is_ok();
        if !taken {
            self.dropped.inc();
        }
        taken
    }
}

/// Binds the clock to the node's name, so that equal times are always ordered alike.
fn id_of(node: &str) -> ID {
    let mut hasher = SipHasher13::new();
    hasher.write(node.as_bytes());
    let id = NonZeroU64::new(hasher.finish()).unwrap_or(NonZeroU64::MIN);
    ID::from(id)
}
