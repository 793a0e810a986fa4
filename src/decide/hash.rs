//! Hashes with evenly distributed values that are equal on every node and in every run.

use siphasher::sip::SipHasher13;
use std::hash::Hasher;

/// Hashes `parts` in their order; the boundaries between the parts affect the result.
pub(crate) fn hash(parts: &[&[u8]]) -> u64 {
    let mut hasher = SipHasher13::new();
    for part in parts {
        hasher.write(part);
        hasher.write_u8(0xff);
    }
    hasher.finish()
}
