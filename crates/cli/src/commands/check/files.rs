//! Reads the files that operators write: settings, resources in TOML, and policies.

use std::ffi::OsStr;
use std::path::Path;

use anyhow::Result;
use tansyhall_config::{Policy, Resource, ResourceFile, ResourceKey, ResourceKind};
use tansyhall_policy::Diagnostic;

use crate::exit::Usage;

/// Extension of a file that contains one policy, whose name is the file's stem.
const POLICY_EXTENSION: &str = "policy";
/// A key that every settings file of a node has and no resource file has.
const SETTINGS_KEY: &str = "callers";

/// A table that every settings file of a gateway has and no other file has.
const GATEWAY_TABLE: &str = "[retries]";

/// A file of an operator with its content.
pub struct OperatorFile {
    /// The file's path as given on the command line.
    pub name: String,
    pub text: String,
    /// What the file contains.
    pub kind: FileKind,
}

/// What a file contains.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FileKind {
    /// Settings of a node.
    Settings,
    /// Settings of a gateway.
    GatewaySettings,
    /// Resources in TOML.
    Resources,
    /// One policy.
    Policy,
}

impl OperatorFile {
    /// Reads a file and determines what it contains.
    pub fn read(path: &OsStr) -> Result<Self> {
        let name = path.to_string_lossy().into_owned();
        let text = std::fs::read_to_string(path).map_err(|e| Usage(format!("{name}: {e}")))?;
        let kind = kind_of(&name, &text);
        Ok(Self { name, text, kind })
    }

    /// Parses the resources of the file. A settings file has none.
    pub fn resources(&self) -> Result<Vec<Resource>, Diagnostic> {
        match self.kind {
            FileKind::Settings | FileKind::GatewaySettings => Ok(Vec::new()),
            FileKind::Resources => {
                ResourceFile::parse(&self.text).map(ResourceFile::into_resources)
            }
            FileKind::Policy => Ok(vec![self.policy()]),
        }
    }

    /// Returns the resource of a policy file.
    fn policy(&self) -> Resource {
        let stem = Path::new(&self.name).file_stem();
        let name = stem.map_or_else(String::new, |stem| stem.to_string_lossy().into_owned());
        Resource::Policy(Policy {
            name: name.as_str().into(),
            source: self.text.clone(),
            tenant: None,
        })
    }

    /// Returns the byte range of a resource's field in this file, or `None` if it is not in this file.
    pub fn locate(&self, key: &ResourceKey, field: &str) -> Option<std::ops::Range<usize>> {
        match self.kind {
            FileKind::Settings | FileKind::GatewaySettings => None,
            FileKind::Resources => tansyhall_config::locate(&self.text, key, field),
            FileKind::Policy => {
                let is_own = key.kind == ResourceKind::Policy && self.policy().key() == *key;
                is_own.then_some(0..self.text.len())
            }
        }
    }
}

fn kind_of(name: &str, text: &str) -> FileKind {
    if Path::new(name).extension() == Some(OsStr::new(POLICY_EXTENSION)) {
        return FileKind::Policy;
    }
    if text.lines().any(|line| line.trim() == GATEWAY_TABLE) {
        return FileKind::GatewaySettings;
    }
    let has_settings_key = |line: &str| {
        let key = line.split('=').next().unwrap_or("");
        line.contains('=') && key.trim() == SETTINGS_KEY
    };
    if text.lines().any(has_settings_key) {
        FileKind::Settings
    } else {
        FileKind::Resources
    }
}
