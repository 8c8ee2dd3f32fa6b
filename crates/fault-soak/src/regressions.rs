//! Seeds that failed once, each with its cause.

use std::time::Duration;

use anyhow::{Context, Result};

/// The list: seed, seconds and cause on each line.
const LIST: &str = include_str!("../regressions.txt");

/// A seed that failed once.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Regression {
    /// The seed.
    pub seed: u64,
    /// How long the episode was.
    pub duration: Duration,
    /// What the cause was.
    pub cause: String,
}

/// All of them.
pub fn regressions() -> Result<Vec<Regression>> {
    let lines = LIST.lines().map(str::trim);
    let lines = lines.filter(|line| !line.is_empty() && !line.starts_with('#'));
    lines
        .map(|line| parse(line).with_context(|| format!("not SEED SECONDS CAUSE: {line}")))
        .collect()
}

fn parse(line: &str) -> Option<Regression> {
    let (seed, rest) = line.split_once(' ')?;
    let (seconds, cause) = rest.split_once(' ')?;
    Some(Regression {
        seed: seed.parse().ok()?,
        duration: Duration::from_secs(seconds.parse().ok()?),
        cause: cause.to_owned(),
    })
}
