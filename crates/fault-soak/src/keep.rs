//! Keeping what a failed episode has left: seed, schedule, gateways' logs and the judges' evidence.

use std::fs;
use std::path::{Path, PathBuf};

use anyhow::{Context, Result};
use serde_json::json;

use crate::episode::Episode;

/// Where failed episodes are kept if nothing else is said, below the working directory.
pub const KEEP_DIRECTORY: &str = "target/fault-soak";

/// Keeps an episode in a folder of its own below a directory and returns the folder.
pub fn keep(episode: &Episode, directory: &Path) -> Result<PathBuf> {
    let folder = directory.join(format!("seed-{}", episode.plan.seed));
    fs::create_dir_all(&folder).with_context(|| format!("cannot make {}", folder.display()))?;
    let summary = json!({
        "seed": episode.plan.seed,
        "seconds": episode.plan.duration.as_secs(),
        "requests": episode.evidence.sent.len(),
        "faults": episode.faults,
    });
    write(&folder, "summary.json", &summary)?;
    write(&folder, "schedule.json", &episode.schedule)?;
    write(&folder, "violations.json", &episode.violations)?;
    write(&folder, "evidence.json", &episode.evidence)?;
    for entry in fs::read_dir(episode.logs.path())? {
        let file = entry?.path();
        if let Some(name) = file.file_name() {
            fs::copy(&file, folder.join(name))?;
        }
    }
    Ok(folder)
}

fn write(folder: &Path, name: &str, value: &impl serde::Serialize) -> Result<()> {
    let text = serde_json::to_vec_pretty(value)?;
    fs::write(folder.join(name), text).with_context(|| format!("cannot write {name}"))
}
