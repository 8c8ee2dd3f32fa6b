//! Saves a failed episode for analysis: seed, schedule, violations, evidence, and the gateways' settings and logs.

use std::fs;
use std::path::{Path, PathBuf};

use anyhow::{Context, Result};
use serde_json::json;

use crate::episode::Episode;

/// Default directory for failed episodes, relative to the working directory.
pub const DEFAULT_OUTPUT_DIRECTORY: &str = "target/fault-soak";

/// Saves an episode in its own folder below a directory and returns the path of the folder.
pub fn save_episode(episode: &Episode, directory: &Path) -> Result<PathBuf> {
    let folder = directory.join(format!("seed-{}", episode.plan.seed));
    fs::create_dir_all(&folder)
        .with_context(|| format!("cannot create folder {}", folder.display()))?;
    let summary = json!({
        "seed": episode.plan.seed,
        "seconds": episode.plan.duration.as_secs(),
        "requests": episode.evidence.sent.len(),
        "faults": episode.faults,
    });
    write_json(&folder, "summary.json", &summary)?;
    write_json(&folder, "schedule.json", &episode.schedule)?;
    write_json(&folder, "violations.json", &episode.violations)?;
    write_json(&folder, "evidence.json", &episode.evidence)?;
    for entry in fs::read_dir(episode.logs.path())? {
        let file = entry?.path();
        if let Some(name) = file.file_name() {
            fs::copy(&file, folder.join(name))?;
        }
    }
    Ok(folder)
}

fn write_json(folder: &Path, name: &str, value: &impl serde::Serialize) -> Result<()> {
    let text = serde_json::to_vec_pretty(value)?;
    fs::write(folder.join(name), text).with_context(|| format!("cannot write file {name}"))
}
