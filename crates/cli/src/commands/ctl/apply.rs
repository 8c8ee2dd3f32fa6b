//! `apply` and `diff`: compare the resources of files with the fleet's configuration, and send them.

use std::ffi::OsString;

use anyhow::Result;
use awc::http::Method;
use serde::Serialize;
use serde_json::Value;
use tansyhall_config::{Resource, ResourceFile, ResourceKey};

use super::api::{Api, Call, CallError};
use super::table::{cell, print_rows};
use crate::commands::check::files::{FileKind, OperatorFile};
use crate::exit::Usage;

/// The change that `apply` would make to one resource.
#[derive(Debug, Serialize)]
pub struct ResourceDiff {
    /// The resource, as `kind/name`.
    pub resource: String,
    /// `create`, `replace` or `unchanged`.
    pub effect: &'static str,
    /// Fields whose value would change.
    pub fields: Vec<FieldDiff>,
}

/// A field whose value would change.
#[derive(Debug, Serialize)]
pub struct FieldDiff {
    /// The name of the field.
    pub field: String,
    /// The current value; null if there is none.
    pub present: Value,
    /// The value in the file; null if there is none.
    pub wanted: Value,
}

/// The changes that `apply` would make to one revision of the configuration.
#[derive(Debug, Serialize)]
pub struct Diff {
    /// The revision that the files were compared with.
    pub revision: u64,
    /// The changes to each resource of the files, including unchanged resources.
    pub resources: Vec<ResourceDiff>,
}

/// Reads the resources of files. Settings of a node are refused.
pub fn read_files(paths: &[OsString]) -> Result<Vec<Resource>> {
    let mut resources = Vec::new();
    for path in paths {
        let file = OperatorFile::read(path)?;
        if file.kind == FileKind::Settings {
            let message = format!("{} contains settings of a node, not resources", file.name);
            anyhow::bail!(Usage(message));
        }
        let to_usage = |diagnostic: tansyhall_policy::Diagnostic| {
            Usage(format!("\n{}", diagnostic.render(&file.name, &file.text)))
        };
        resources.extend(file.resources().map_err(to_usage)?);
    }
    if resources.is_empty() {
        anyhow::bail!(Usage("no resources given; see tansyhall ctl --help".into()));
    }
    Ok(resources)
}

/// Compares resources with the fleet's current configuration.
pub async fn diff(api: &Api, wanted: &[Resource]) -> Result<Diff, CallError> {
    let present = api.read("/admin/v1/configuration").await?;
    let items = present["items"].as_array().map_or(&[][..], Vec::as_slice);
    let find = |key: &ResourceKey| {
        let matches_key = |item: &&Value| {
            let resource = &item["resource"];
            resource["name"] == key.name.as_str() && resource["type"] == key.kind.name()
        };
        items.iter().find(matches_key).map(|item| &item["resource"])
    };
    let resources = wanted
        .iter()
        .map(|resource| compare(resource, find(&resource.key())));
    Ok(Diff {
        revision: present["revision"].as_u64().unwrap_or(0),
        resources: resources.collect(),
    })
}

fn compare(wanted: &Resource, present: Option<&Value>) -> ResourceDiff {
    let name = wanted.key().to_string();
    let wanted = serde_json::to_value(wanted).unwrap_or_default();
    let empty = Value::Object(Default::default());
    let present_fields = present.unwrap_or(&empty);
    let fields = changed_fields(present_fields, &wanted);
    let effect = match present {
        None => "create",
        Some(_) if fields.is_empty() => "unchanged",
        Some(_) => "replace",
    };
    ResourceDiff {
        resource: name,
        effect,
        fields,
    }
}

fn changed_fields(present: &Value, wanted: &Value) -> Vec<FieldDiff> {
    let field_names = |value: &Value| {
        let fields = value.as_object();
        fields.map_or_else(Vec::new, |fields| fields.keys().cloned().collect())
    };
    let mut all: Vec<String> = field_names(present);
    all.extend(field_names(wanted));
    all.sort();
    all.dedup();
    let is_changed = |field: &String| present[field] != wanted[field] && field != "type";
    let changed = all.into_iter().filter(is_changed);
    changed
        .map(|field| FieldDiff {
            present: present[&field].clone(),
            wanted: wanted[&field].clone(),
            field,
        })
        .collect()
}

impl Diff {
    /// Prints the changes as a table.
    pub fn print(&self) {
        println!("compared with revision {}", self.revision);
        let rows = self.resources.iter().flat_map(|resource| {
            let heading = vec![resource.resource.clone(), resource.effect.to_owned()];
            let shows_fields = resource.effect == "replace";
            let fields = resource.fields.iter().filter(move |_| shows_fields);
            let fields = fields.map(|field| {
                let change = format!("{} -> {}", cell(&field.present), cell(&field.wanted));
                vec![format!("  {}", field.field), change]
            });
            std::iter::once(heading).chain(fields)
        });
        print_rows(&["RESOURCE", "CHANGE"], rows);
    }
}

/// Applies all resources or none, on condition that none of them was changed after `revision`.
pub async fn apply(
    api: &Api,
    resources: Vec<Resource>,
    revision: u64,
    dry_run: bool,
) -> Result<Value> {
    let suffix = if dry_run { "&dry-run" } else { "" };
    let path = format!("/admin/v1/apply?expected-revision={revision}{suffix}");
    let call = Call {
        body: ResourceFile::from_resources(resources).to_text()?,
        ..Call::new(Method::POST, &path)
    };
    Ok(api.call(call).await.map(|answer| answer.value)?)
}
