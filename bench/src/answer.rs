//! Deterministic answers: the answer is computed from the messages of the request, so that the load generator can
//! verify each response.

use serde_json::Value;
use sha2::Digest;
use sha2::Sha256;

/// Bytes of text counted as one token.
const BYTES_PER_TOKEN: u64 = 4;

/// Returns the answer that every engine gives to `messages`, as `max_tokens` tokens of three hex digits and a space.
pub fn answer_tokens(messages: &Value, max_tokens: u32) -> Vec<String> {
    let digest = Sha256::digest(messages.to_string().as_bytes());
    let seed = digest
        .iter()
        .take(8)
        .fold(0u64, |seed, b| (seed << 8) | u64::from(*b));
    (0..u64::from(max_tokens))
        .map(|i| format!("{:03x} ", splitmix64(seed.wrapping_add(i)) & 0xfff))
        .collect()
}

/// Returns the number of tokens of a text, rounded up: at least one for a text that is not empty.
pub fn token_count(text: &str) -> u64 {
    (text.len() as u64).div_ceil(BYTES_PER_TOKEN)
}

/// Hashes a counter into 64 pseudorandom bits (splitmix64), for choices that are the same in each run.
pub(crate) fn splitmix64(x: u64) -> u64 {
    let x = x.wrapping_mul(0x9e37_79b9_7f4a_7c15);
    let x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^ (x >> 31)
}
