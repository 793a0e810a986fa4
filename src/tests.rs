//! Runs property tests on fixed seeds. The environment variable `CB_FUZZ_SEEDS` sets the number of seeds.

use arbtest::arbitrary::Result;
use arbtest::arbitrary::Unstructured;
use arbtest::arbtest;

/// Number of seeds for each property if `CB_FUZZ_SEEDS` is not set to a number.
const DEFAULT_SEEDS: u64 = 64;
/// Number of random bytes from which the inputs of one seed are generated.
const INPUT_BYTES: u64 = 2_048;

/// Checks `property` on each seed.
pub(crate) fn check(property: fn(&mut Unstructured<'_>) -> Result<()>) {
    let configured = std::env::var("CB_FUZZ_SEEDS").ok();
    let seeds = configured
        .and_then(|text| text.parse().ok())
        .unwrap_or(DEFAULT_SEEDS);
    for seed in 0..seeds {
        arbtest(property).seed(seed << 32 | INPUT_BYTES).run();
    }
}
