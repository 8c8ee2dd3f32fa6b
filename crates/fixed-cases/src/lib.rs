//! Configuration of property tests that run the same cases every time, so that their results are
//! reproducible.

#![forbid(unsafe_code)]

use proptest::test_runner::{Config, RngSeed};

/// Returns a configuration with the default number of cases, which are generated from `seed`. Failing cases are
/// not saved in files, because the seed reproduces them.
pub fn config_with_seed(seed: u64) -> Config {
    Config {
        rng_seed: RngSeed::Fixed(seed),
        failure_persistence: None,
        ..Config::default()
    }
}

/// Returns a configuration with `cases` cases, which are generated from `seed`.
pub fn config_with_seed_and_cases(seed: u64, cases: u32) -> Config {
    Config {
        cases,
        ..config_with_seed(seed)
    }
}
