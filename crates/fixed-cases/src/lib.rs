//! Property tests whose cases are the same on every run, so that a test's verdict is too.

#![forbid(unsafe_code)]

use proptest::test_runner::{Config, RngSeed};

/// As many cases as by default, drawn by this seed. Failures are not kept in files: the seed finds them again.
pub fn fixed_cases(seed: u64) -> Config {
    Config {
        rng_seed: RngSeed::Fixed(seed),
        failure_persistence: None,
        ..Config::default()
    }
}

/// So many cases, drawn by this seed.
pub fn fixed_number_of_cases(seed: u64, cases: u32) -> Config {
    Config {
        cases,
        ..fixed_cases(seed)
    }
}
