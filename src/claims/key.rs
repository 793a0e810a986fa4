//! Keys of non-idempotent calls.

use std::fmt;
use std::str::FromStr;
use std::time::Duration;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;
use uuid::Uuid;

/// Version of the UUIDs that keys are; it carries the time of the key's making.
const UUID_VERSION: usize = 7;

/// Key of a non-idempotent call: a UUID of version 7.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct IdempotencyKey(Uuid);

/// The text is not a UUID of version 7.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct KeyError;

/// Where a key's time stands to the present.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Age {
    /// It was made later than now, beyond what clocks may be apart.
    Future,
    /// It may be claimed.
    Fresh,
    /// The log may have forgotten it.
    Expired,
}

impl IdempotencyKey {
    /// Time of the key's making by its maker, in milliseconds since 1970.
    pub fn time_ms(self) -> u64 {
        let (seconds, nanos) = self.0.get_timestamp().map_or((0, 0), |time| time.to_unix());
        seconds * 1_000 + u64::from(nanos) / 1_000_000
    }

    /// Tells the key's age at `now_ms`.
    pub fn age(self, now_ms: u64, window: Duration, skew: Duration) -> Age {
        let made = self.time_ms();
        let millis = |time: Duration| u64::try_from(time.as_millis()).unwrap_or(u64::MAX);
        if made > now_ms.saturating_add(millis(skew)) {
            Age::Future
        } else if now_ms.saturating_sub(made) > millis(window) {
            Age::Expired
        } else {
            Age::Fresh
        }
    }
}

/// Time of this host in milliseconds since 1970.
pub(super) fn now_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(0, |since| {
        u64::try_from(since.as_millis()).unwrap_or(u64::MAX)
    })
}

impl FromStr for IdempotencyKey {
    type Err = KeyError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let uuid = Uuid::parse_str(text).map_err(|_| KeyError)?;
        if uuid.get_version_num() != UUID_VERSION {
            return Err(KeyError);
        }
        Ok(Self(uuid))
    }
}

impl fmt::Display for IdempotencyKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}
