//! The bench's journal as far as a comparison needs it: single days that were played, by site, day
//! and seed.

use std::collections::BTreeMap;
use std::path::Path;

use anyhow::{Context, Result};
use serde::Deserialize;

/// One day that was played.
#[derive(Debug, Clone, PartialEq)]
pub struct Play {
    /// The deployment.
    pub site: String,
    /// The day's name.
    pub day: String,
    /// What its luck was drawn from.
    pub seed: u64,
    /// What was earned less prices, as a part of what was owed.
    pub worth: f64,
    /// Whether no rule was broken and nothing failed.
    pub kept: bool,
    /// Why it was played.
    pub why: String,
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
    worth: Option<f64>,
    /// How often each rule was broken.
    #[serde(default)]
    rules: BTreeMap<String, serde_json::Value>,
    #[serde(default)]
    fault: Option<serde_json::Value>,
}

/// Every day in the entries of a directory, in the order of their file names. Entries that hold no
/// days are passed over.
pub fn read(directory: &Path) -> Result<Vec<Play>> {
    let listed = std::fs::read_dir(directory)
        .with_context(|| format!("cannot list {}", directory.display()))?;
    let mut files = Vec::new();
    for file in listed {
        files.push(file?.path());
    }
    files.retain(|file| file.extension().is_some_and(|ending| ending == "json"));
    files.sort();
    let mut plays = Vec::new();
    for file in files {
        let text = std::fs::read_to_string(&file)
            .with_context(|| format!("cannot read {}", file.display()))?;
        let entry: Entry = serde_json::from_str(&text)
            .with_context(|| format!("{} is no journal entry", file.display()))?;
        plays.extend(entry.plays());
    }
    Ok(plays)
}

impl Entry {
    fn plays(self) -> Vec<Play> {
        let site = self.site.unwrap_or_default();
        let why = self.why.unwrap_or_default();
        let played = self.days.into_iter().filter_map(|day| {
            Some(Play {
                site: site.clone(),
                worth: day.worth?,
                kept: day.rules.is_empty() && day.fault.is_none(),
                day: day.name,
                seed: day.seed?,
                why: why.clone(),
            })
        });
        played.collect()
    }
}
