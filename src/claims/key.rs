//! Keys of non-idempotent calls.

use std::fmt;
use std::str::FromStr;
use uuid::Uuid;

/// Version of the UUIDs that keys are; it carries the time of the key's making.
const UUID_VERSION: usize = 7;

/// Key of a non-idempotent call: a UUID of version 7.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct IdempotencyKey(Uuid);

/// The text is not a UUID of version 7.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct KeyError;

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
