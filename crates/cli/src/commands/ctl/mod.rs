//! `tansyhall ctl`: the operators' command line, a client of any node's administration API.

use std::process::ExitCode;
use std::time::Duration;

use anyhow::{bail, Context, Result};
use awc::http::Method;
use comfy_table::{presets, Table};
use pico_args::Arguments;
use serde_json::Value;

use crate::exit::{self, Usage};

const HELP: &str = "\
Operate a fleet through any node's administration API.

USAGE:
  tansyhall ctl [OPTIONS] apply FILE [--dry-run]   create or replace the file's resources, all or none
  tansyhall ctl [OPTIONS] get KIND [NAME]          list resources, or show one
  tansyhall ctl [OPTIONS] delete KIND NAME         delete a resource
  tansyhall ctl [OPTIONS] status                   what the node has in force and observes

OPTIONS:
  --node IP:PORT   a node's administration address (or TANSYHALL_NODE)
  --token TOKEN    bearer token (or TANSYHALL_TOKEN)
  --json           the API's JSON instead of tables

KINDS: policy, site, service, pool
";

const TIMEOUT: Duration = Duration::from_secs(15);

struct Api {
    node: String,
    token: String,
    json: bool,
}

/// Runs the command.
pub fn run(mut arguments: Arguments) -> Result<ExitCode> {
    if arguments.contains(["-h", "--help"]) {
        print!("{HELP}");
        return Ok(ExitCode::SUCCESS);
    }
    let option = |value: Option<String>, variable: &str, name: &str| {
        let value = value.or_else(|| std::env::var(variable).ok());
        value
            .with_context(|| format!("{name} or {variable} is needed"))
            .map_err(|error| anyhow::Error::new(Usage(error.to_string())))
    };
    let node = arguments.opt_value_from_str("--node")?;
    let token = arguments.opt_value_from_str("--token")?;
    let api = Api {
        node: option(node, "TANSYHALL_NODE", "--node")?,
        token: option(token, "TANSYHALL_TOKEN", "--token")?,
        json: arguments.contains("--json"),
    };
    let dry_run = arguments.contains("--dry-run");
    let command: String = arguments.free_from_str()?;
    let first: Option<String> = arguments.opt_free_from_str()?;
    let second: Option<String> = arguments.opt_free_from_str()?;
    exit::finish(arguments)?;
    actix_rt::System::new().block_on(async move {
        match (command.as_str(), first, second) {
            ("apply", Some(file), None) => api.apply(&file, dry_run).await,
            ("get", Some(kind), None) => api.list(&kind).await,
            ("get", Some(kind), Some(name)) => api.show(&format!("/admin/v1/{kind}/{name}")).await,
            ("delete", Some(kind), Some(name)) => {
                let path = format!("/admin/v1/{kind}/{name}");
                api.call(Method::DELETE, &path, String::new())
                    .await
                    .map(|value| print(&value))
            }
            ("status", None, None) => api.status().await,
            _ => bail!(Usage("unknown command; see tansyhall ctl --help".into())),
        }
    })?;
    Ok(ExitCode::SUCCESS)
}

fn print(value: &Value) {
    println!("{value:#}");
}

fn cell(value: &Value) -> String {
    match value {
        Value::String(text) => text.clone(),
        Value::Null => String::new(),
        Value::Array(items) => {
            let cells: Vec<String> = items.iter().map(cell).collect();
            cells.join(", ")
        }
        Value::Object(fields) => fields.get("name").map_or_else(|| value.to_string(), cell),
        other => other.to_string(),
    }
}

fn print_table(items: &[Value], columns: &[&str]) {
    let mut table = Table::new();
    table.load_style(presets::NOTHING).set_header(columns);
    for item in items {
        table.add_row(columns.iter().map(|column| cell(&item[*column])));
    }
    println!("{table}");
}

impl Api {
    async fn call(&self, method: Method, path: &str, body: String) -> Result<Value> {
        let url = format!("http://{}{path}", self.node);
        let client = awc::Client::builder().timeout(TIMEOUT).finish();
        let request = client.request(method, url).bearer_auth(&self.token);
        let mut response = request
            .send_body(body)
            .await
            .map_err(|error| anyhow::anyhow!("no answer from {}: {error}", self.node))?;
        let bytes = response.body().limit(64 << 20).await?;
        let value: Value = serde_json::from_slice(&bytes)
            .unwrap_or_else(|_| Value::String(String::from_utf8_lossy(&bytes).into_owned()));
        if response.status().is_success() {
            return Ok(value);
        }
        let message = value["error"]["message"]
            .as_str()
            .map_or(value.to_string(), str::to_owned);
        bail!("{}: {message}", response.status())
    }

    async fn show(&self, path: &str) -> Result<()> {
        self.call(Method::GET, path, String::new())
            .await
            .map(|value| print(&value))
    }

    async fn apply(&self, file: &str, dry_run: bool) -> Result<()> {
        let text = std::fs::read_to_string(file).map_err(|e| Usage(format!("{file}: {e}")))?;
        let path = if dry_run {
            "/admin/v1/apply?dry-run"
        } else {
            "/admin/v1/apply"
        };
        let value = self.call(Method::POST, path, text).await?;
        if self.json {
            print(&value);
        } else if dry_run {
            println!("{file} would be accepted");
        } else {
            println!("{file} is accepted at revision {}", value["revision"]);
        }
        Ok(())
    }

    async fn list(&self, kind: &str) -> Result<()> {
        let value = self
            .call(Method::GET, &format!("/admin/v1/{kind}"), String::new())
            .await?;
        if self.json {
            print(&value);
            return Ok(());
        }
        let columns: &[&str] = match kind {
            "site" => &["name", "region", "zones"],
            "service" => &["name", "site", "kind", "policy", "path_prefix"],
            "pool" => &["name", "service", "zone", "model", "backends"],
            _ => &["name"],
        };
        print_table(
            value["items"].as_array().map_or(&[], Vec::as_slice),
            columns,
        );
        Ok(())
    }

    async fn status(&self) -> Result<()> {
        let value = self
            .call(Method::GET, "/admin/v1/status", String::new())
            .await?;
        if self.json {
            print(&value);
            return Ok(());
        }
        println!(
            "node {} in zone {}, configuration revision {}",
            cell(&value["node"]),
            cell(&value["zone"]),
            value["configuration_revision"]
        );
        let engines = value["engines"].as_array().map_or(&[][..], Vec::as_slice);
        print_table(
            engines,
            &[
                "engine",
                "role",
                "model",
                "requests",
                "draining",
                "fence_token",
            ],
        );
        Ok(())
    }
}
