//! `tansyhall ctl`: the command line for operators, a client of any node's administration API.

mod api;
mod apply;
mod command;
mod table;

use std::ffi::OsString;
use std::process::ExitCode;

use anyhow::Result;
use awc::http::Method;
use pico_args::Arguments;
use serde_json::Value;

use crate::exit::Usage;
use api::{Api, Call, CallError};
use command::{Command, Options, HELP};
use table::{cell, print_items};

/// Runs the command.
pub fn run(mut arguments: Arguments) -> Result<ExitCode> {
    if arguments.contains(["-h", "--help"]) {
        print!("{HELP}");
        return Ok(ExitCode::SUCCESS);
    }
    let options = Options::parse(&mut arguments)?;
    let command = Command::parse(arguments)?;
    if let Command::Format(path) = &command {
        return format(path);
    }
    let ctl = Ctl {
        api: Api {
            node: required(options.node, "TANSYHALL_NODE", "--node")?,
            token: required(options.token, "TANSYHALL_TOKEN", "--token")?,
        },
        json: options.json,
    };
    let outcome = actix_rt::System::new().block_on(ctl.run(command));
    let Err(error) = outcome else {
        return Ok(ExitCode::SUCCESS);
    };
    match error.downcast_ref::<CallError>() {
        Some(call_error) => {
            eprintln!("tansyhall: {call_error}");
            Ok(call_error.exit_code())
        }
        None => Err(error),
    }
}

fn required(value: Option<String>, variable: &str, name: &str) -> Result<String> {
    let value = value.or_else(|| std::env::var(variable).ok());
    let missing = || {
        Usage(format!(
            "missing option {name}, or environment variable {variable}"
        ))
    };
    Ok(value.ok_or_else(missing)?)
}

fn read_text(path: &OsString) -> Result<String> {
    let name = path.to_string_lossy();
    Ok(std::fs::read_to_string(path).map_err(|error| Usage(format!("{name}: {error}")))?)
}

fn format(path: &OsString) -> Result<ExitCode> {
    let text = read_text(path)?;
    let name = path.to_string_lossy();
    let to_usage =
        |diagnostic: tansyhall_policy::Diagnostic| Usage(diagnostic.render(&name, &text));
    print!(
        "{}",
        tansyhall_policy::format::format(&text).map_err(to_usage)?
    );
    Ok(ExitCode::SUCCESS)
}

fn print_json(value: &impl serde::Serialize) -> Result<()> {
    println!("{}", serde_json::to_string_pretty(value)?);
    Ok(())
}

fn print_pools(status: &Value) {
    println!("\nPOOLS (desired: model, bounds; observed: roles, draining, other_model)");
    let columns = [
        "pool",
        "zone",
        "model",
        "bounds",
        "backends",
        "unobserved",
        "roles",
        "draining",
        "other_model",
        "settled",
    ];
    print_items(&status["pools"], &columns);
}

struct Ctl {
    api: Api,
    json: bool,
}

impl Ctl {
    async fn run(&self, command: Command) -> Result<()> {
        match command {
            Command::Apply {
                files,
                dry_run,
                revision,
            } => self.apply(&files, dry_run, revision).await,
            Command::Diff(files) => self.diff(&files).await,
            Command::List(kind) => self.list(&kind).await,
            Command::Get(kind, name) => self.get(&kind, &name).await,
            Command::Delete {
                kind,
                name,
                revision,
            } => self.delete(&kind, &name, revision).await,
            Command::Status => self.status().await,
            Command::Plan => self.plan().await,
            Command::Explain(file) => self.explain(&file).await,
            Command::Audit => self.audit().await,
            Command::Format(_) => Ok(()),
        }
    }

    async fn apply(&self, files: &[OsString], dry_run: bool, revision: Option<u64>) -> Result<()> {
        let resources = apply::read_files(files)?;
        let diff = apply::diff(&self.api, &resources).await?;
        let revision = revision.unwrap_or(diff.revision);
        let answer = apply::apply(&self.api, resources, revision, dry_run).await?;
        if self.json {
            return print_json(&answer);
        }
        diff.print();
        match (dry_run, answer["revision"].as_u64()) {
            (true, _) => println!("would be accepted; nothing was changed"),
            (false, Some(revision)) => println!("accepted at revision {revision}"),
            (false, None) => println!("accepted; the configuration has since been changed again"),
        }
        Ok(())
    }

    async fn diff(&self, files: &[OsString]) -> Result<()> {
        let resources = apply::read_files(files)?;
        let diff = apply::diff(&self.api, &resources).await?;
        if self.json {
            return print_json(&diff);
        }
        diff.print();
        Ok(())
    }

    async fn list(&self, kind: &str) -> Result<()> {
        let value = self.api.read(&format!("/admin/v1/{kind}")).await?;
        if self.json {
            return print_json(&value);
        }
        let columns: &[&str] = match kind {
            "tenant" => &["name", "owner", "limits"],
            "policy" => &["name", "tenant"],
            "site" => &["name", "region", "zones"],
            "service" => &["name", "site", "kind", "policy", "tenant", "path_prefix"],
            "pool" => &["name", "service", "zone", "model", "versions", "backends"],
            _ => &["name"],
        };
        print_items(&value["items"], columns);
        Ok(())
    }

    async fn get(&self, kind: &str, name: &str) -> Result<()> {
        let path = format!("/admin/v1/{kind}/{name}");
        let answer = self.api.call(Call::get(&path)).await?;
        if !self.json {
            let tag = answer.entity_tag.unwrap_or_default();
            println!("{kind}/{name} at revision {}", tag.trim_matches('"'));
        }
        print_json(&answer.value)
    }

    async fn delete(&self, kind: &str, name: &str, revision: Option<u64>) -> Result<()> {
        let path = format!("/admin/v1/{kind}/{name}");
        let tag = match revision {
            Some(revision) => Some(format!("\"{revision}\"")),
            None => self.api.call(Call::get(&path)).await?.entity_tag,
        };
        let call = Call {
            if_match: tag,
            ..Call::new(Method::DELETE, &path)
        };
        let answer = self.api.call(call).await?;
        if self.json {
            return print_json(&answer.value);
        }
        println!("{kind}/{name} deleted");
        Ok(())
    }

    async fn status(&self) -> Result<()> {
        let status = self.api.read("/admin/v1/status").await?;
        if self.json {
            return print_json(&status);
        }
        println!(
            "node {} in zone {}: configuration revision {}, last seen in the store {} ms ago",
            cell(&status["node"]),
            cell(&status["zone"]),
            status["configuration_revision"],
            status["configuration_seen_millis_ago"],
        );
        println!("\nOTHER NODES");
        let members = [
            "name",
            "state",
            "configuration_revision",
            "callers",
            "admin",
        ];
        print_items(&status["members"], &members);
        let zones = ["zone", "live_members", "configuration_revision"];
        print_items(&status["zones"], &zones);
        print_pools(&status);
        println!("\nENGINES");
        let engines = [
            "engine",
            "role",
            "model",
            "version",
            "requests",
            "draining",
            "fence_token",
        ];
        print_items(&status["engines"], &engines);
        Ok(())
    }

    async fn plan(&self) -> Result<()> {
        let status = self.api.read("/admin/v1/status").await?;
        if self.json {
            return print_json(&status["pools"]);
        }
        print_pools(&status);
        Ok(())
    }

    async fn explain(&self, file: &OsString) -> Result<()> {
        let text = read_text(file)?;
        let request: Value = match serde_json::from_str(&text) {
            Ok(request) => request,
            Err(_) => toml::from_str(&text).map_err(|error| {
                Usage(format!(
                    "{}: neither JSON nor TOML: {error}",
                    file.to_string_lossy()
                ))
            })?,
        };
        let call = Call {
            body: request.to_string(),
            ..Call::new(Method::POST, "/admin/v1/explain")
        };
        let answer = self.api.call(call).await?.value;
        if self.json {
            return print_json(&answer);
        }
        println!(
            "class {} of policy {}, revision {}",
            cell(&answer["class"]),
            cell(&answer["policy"]),
            answer["revision"]
        );
        let settings = [
            "deadline_millis",
            "priority",
            "repeatable",
            "prefer",
            "fallback",
        ];
        for setting in settings.into_iter().chain(["versions", "adapters"]) {
            println!("  {setting}: {}", cell(&answer[setting]));
        }
        println!("evaluated tests, in order:");
        print_items(&answer["tests"], &["class", "test", "held"]);
        Ok(())
    }

    async fn audit(&self) -> Result<()> {
        let answer = self.api.read("/admin/v1/audit").await?;
        if self.json {
            return print_json(&answer);
        }
        let entries = answer["entries"].as_array().map_or(&[][..], Vec::as_slice);
        let rows = entries.iter().map(|entry| {
            let millis = entry["at_unix_millis"].as_u64().unwrap_or(0);
            let at = std::time::UNIX_EPOCH + std::time::Duration::from_millis(millis);
            let at = humantime::format_rfc3339_millis(at).to_string();
            vec![
                at,
                cell(&entry["account"]),
                cell(&entry["resources"]),
                cell(&entry["more"]),
            ]
        });
        table::print_rows(&["at", "account", "resources", "more"], rows);
        Ok(())
    }
}
