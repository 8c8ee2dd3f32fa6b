//! Passes the commit that the program is built from to the compiler, for the first line of the program's log.

use std::fs;
use std::path::{Path, PathBuf};

/// Value used for the commit if the sources are not in a clone of the repository.
const UNKNOWN_COMMIT: &str = "unknown";

fn main() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("../..");
    let commit = read_commit(&root.join(".git"));
    let commit = commit.unwrap_or_else(|| UNKNOWN_COMMIT.into());
    println!("cargo::rustc-env=TANSYHALL_COMMIT={commit}");
    println!("cargo::rerun-if-changed=build.rs");
}

/// Reads the commit of a clone from the files in its `.git` directory.
fn read_commit(git: &Path) -> Option<String> {
    let head = read_watched(git.join("HEAD"))?;
    let Some(name) = head.strip_prefix("ref: ") else {
        return Some(head);
    };
    read_watched(git.join(name)).or_else(|| read_packed_reference(git, name))
}

/// Reads the commit of a reference that git has moved to the file of packed references.
fn read_packed_reference(git: &Path, name: &str) -> Option<String> {
    let packed = read_watched(git.join("packed-refs"))?;
    let mut lines = packed.lines().filter_map(|line| line.split_once(' '));
    let (commit, _) = lines.find(|(_, packed_name)| *packed_name == name)?;
    Some(commit.to_owned())
}

/// Reads a file's text without surrounding whitespace. The program is rebuilt when the file changes.
fn read_watched(file: PathBuf) -> Option<String> {
    let text = fs::read_to_string(&file).ok()?;
    println!("cargo::rerun-if-changed={}", file.display());
    Some(text.trim().to_owned())
}
