//! Runs properties on fixed seeds, and on as many more as `CB_FUZZ_SEEDS` asks for.

use arbtest::arbitrary::Result;
use arbtest::arbitrary::Unstructured;
use arbtest::arbtest;

/// Seeds of each property where nothing else is asked for.
const SEEDS: u64 = 64;
/// Bytes that the inputs of one seed are made from.
const INPUT_BYTES: u64 = 2_048;

/// Checks a property on each seed.
pub(crate) fn check(property: fn(&mut Unstructured<'_>) -> Result<()>) {
    let asked = std::env::var("CB_FUZZ_SEEDS").ok();
    let seeds = asked.and_then(|text| text.parse().ok()).unwrap_or(SEEDS);
    for seed in 0..seeds {
        arbtest(property).seed(seed << 32 | INPUT_BYTES).run();
    }
}
