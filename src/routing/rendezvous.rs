//! Rendezvous hashing by SipHash with a fixed key, which gives the same result on every node.

use siphasher::sip::SipHasher13;
use std::hash::Hasher;

/// First half of the SipHash key; nodes of all versions must use the same key.
const KEY_0: u64 = 0x6375_7272_616e_7462;
/// Second half of the SipHash key.
const KEY_1: u64 = 0x656e_6400_0000_0001;

/// Returns the score of `member` for `key`; the member with the highest score ranks first. When one of n members is
/// removed, only the keys that it ranked first for move.
pub fn score(key: &str, member: &str) -> u64 {
    let mut hasher = SipHasher13::new_with_keys(KEY_0, KEY_1);
    hasher.write(key.as_bytes());
    // UTF-8 text never contains this byte, so that ("ab", "c") and ("a", "bc") have different hash inputs.
    hasher.write_u8(0xff);
    hasher.write(member.as_bytes());
    hasher.finish()
}
