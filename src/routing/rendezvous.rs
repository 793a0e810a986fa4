//! Rendezvous hashing over SipHash with a fixed key, the same on every node.

use siphasher::sip::SipHasher13;
use std::hash::Hasher;

/// First half of the key; all nodes of all versions must agree on it.
const KEY_0: u64 = 0x6375_7272_616e_7462;
/// Second half of the key.
const KEY_1: u64 = 0x656e_6400_0000_0001;

/// Scores `member` for `key`; the highest score ranks first. When one of n members goes, only its own keys move.
pub fn score(key: &str, member: &str) -> u64 {
    let mut hasher = SipHasher13::new_with_keys(KEY_0, KEY_1);
    hasher.write(key.as_bytes());
    // A byte that no UTF-8 text holds keeps ("ab", "c") and ("a", "bc") apart.
    hasher.write_u8(0xff);
    hasher.write(member.as_bytes());
    hasher.finish()
}
