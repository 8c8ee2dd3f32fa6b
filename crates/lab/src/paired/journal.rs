//! Reads the bench's journal: the runs of single days, identified by site, day and seed.

use std::collections::BTreeMap;
use std::path::Path;

use anyhow::{Context, Result};
use serde::Deserialize;

/// One run of a day.
#[derive(Debug, Clone, PartialEq)]
pub struct DayRun {
    /// Name of the deployment.
    pub site: String,
    /// Name of the day.
    pub day: String,
    /// Seed of the day's random events.
    pub seed: u64,
    /// Earnings less costs, as a fraction of the amount owed.
    pub score: f64,
    /// Whether no rule was violated and the run did not fail.
    pub passed: bool,
    /// Reason given for the run.
    pub reason: String,
}

#[derive(Deserialize)]
struct Entry {
    #[serde(default)]
    site: Option<String>,
    #[serde(default)]
    why: Option<String>,
    #[serde(default)]
    days: Vec<Day>,
}

#[derive(Deserialize)]
struct Day {
    name: String,
    seed: Option<u64>,
    #[serde(rename = "G")]
    score: Option<f64>,
    /// Number of violations of each rule.
    #[serde(default)]
    rules: BTreeMap<String, serde_json::Value>,
    #[serde(default)]
    fault: Option<serde_json::Value>,
}

/// Reads the runs from all journal entries in a directory, in the order of the file names. Entries
/// without days are skipped.
pub fn read(directory: &Path) -> Result<Vec<DayRun>> {
    let entries = std::fs::read_dir(directory)
        .with_context(|| format!("cannot list {}", directory.display()))?;
    let mut files = Vec::new();
    for file in entries {
        files.push(file?.path());
    }
    files.retain(|file| {
        file.extension()
            .is_some_and(|extension| extension == "json")
    });
    files.sort();
    let mut runs = Vec::new();
    for file in files {
        let text = std::fs::read_to_string(&file)
            .with_context(|| format!("cannot read {}", file.display()))?;
        let entry: Entry = serde_json::from_str(&text)
            .with_context(|| format!("{} is not a valid journal entry", file.display()))?;
        runs.extend(entry.into_runs());
    }
    Ok(runs)
}

impl Entry {
    fn into_runs(self) -> Vec<DayRun> {
        let site = self.site.unwrap_or_default();
        let reason = self.why.unwrap_or_default();
        let runs = self.days.into_iter().filter_map(|day| {
            Some(DayRun {
                site: site.clone(),
                score: day.score?,
                passed: day.rules.is_empty() && day.fault.is_none(),
                day: day.name,
                seed: day.seed?,
                reason: reason.clone(),
            })
        });
        runs.collect()
    }
}
