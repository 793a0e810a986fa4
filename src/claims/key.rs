//! Idempotency keys of non-idempotent calls.

use std::fmt;
use std::str::FromStr;
use std::time::Duration;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;
use uuid::Uuid;

/// UUID version of keys. Version 7 contains the time of creation, from which a key's age is computed.
const UUID_VERSION: usize = 7;

/// Idempotency key of a non-idempotent call: a UUID of version 7, created by the caller.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct IdempotencyKey(Uuid);

/// The error returned when a text is not a UUID of version 7.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct KeyError;

/// Age class of a key.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Age {
    /// The key's time is in the future, by more than the allowed clock skew.
    Future,
    /// The key may be claimed.
    Fresh,
    /// The key is so old that the log may have discarded an earlier claim of it.
    Expired,
}

impl IdempotencyKey {
    /// Returns the key's time of creation by its creator's clock, in milliseconds since 1970.
    pub fn time_ms(self) -> u64 {
        let (seconds, nanos) = self.0.get_timestamp().map_or((0, 0), |time| time.to_unix());
        seconds * 1_000 + u64::from(nanos) / 1_000_000
    }

    /// Returns the key's age class at `now_ms`: a key may be claimed up to the age `window`, and may be up to `skew` in
    /// the future.
    pub fn age(self, now_ms: u64, window: Duration, skew: Duration) -> Age {
        let created_ms = self.time_ms();
        let as_millis = |time: Duration| u64::try_from(time.as_millis()).unwrap_or(u64::MAX);
        if created_ms > now_ms.saturating_add(as_millis(skew)) {
            Age::Future
        } else if now_ms.saturating_sub(created_ms) > as_millis(window) {
            Age::Expired
        } else {
            Age::Fresh
        }
    }
}

/// Returns the time by this host's clock, in milliseconds since 1970.
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
