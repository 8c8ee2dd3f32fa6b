//! Seeds whose episodes failed once, each with the cause.

use std::time::Duration;

use anyhow::{Context, Result};

/// The list of seeds. Each line consists of seed, duration in seconds, and cause.
const SEED_LIST: &str = include_str!("../regressions.txt");

/// A seed whose episode failed once.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Regression {
    /// The seed.
    pub seed: u64,
    /// The duration of the episode.
    pub duration: Duration,
    /// The cause of the failure.
    pub cause: String,
}

/// Parses the list of seeds.
///
/// # Errors
///
/// Fails if a line is malformed.
pub fn load_regressions() -> Result<Vec<Regression>> {
    let lines = SEED_LIST.lines().map(str::trim);
    let lines = lines.filter(|line| !line.is_empty() && !line.starts_with('#'));
    lines
        .map(|line| {
            parse_line(line).with_context(|| format!("expected SEED SECONDS CAUSE, got: {line}"))
        })
        .collect()
}

fn parse_line(line: &str) -> Option<Regression> {
    let (seed, rest) = line.split_once(' ')?;
    let (seconds, cause) = rest.split_once(' ')?;
    Some(Regression {
        seed: seed.parse().ok()?,
        duration: Duration::from_secs(seconds.parse().ok()?),
        cause: cause.to_owned(),
    })
}
