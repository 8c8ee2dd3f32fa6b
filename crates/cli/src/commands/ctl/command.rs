//! The commands of `tansyhall ctl` and their arguments.

use std::ffi::OsString;

use anyhow::{bail, Result};
use pico_args::Arguments;

use crate::exit::{self, Usage};

/// The output of `--help`.
pub const HELP: &str = "\
Operate a fleet through any node's administration API.

USAGE:
  tansyhall ctl [OPTIONS] apply FILE... [--dry-run] [--revision N]
        create or replace the files' resources, all or none. Refused if any of them was changed
        after revision N (default: the revision read when the command starts)
  tansyhall ctl [OPTIONS] diff FILE...
        show what apply would change, and the revision to pass to apply
  tansyhall ctl [OPTIONS] get KIND [NAME]
        list resources, or show one
  tansyhall ctl [OPTIONS] delete KIND NAME [--revision N]
        delete a resource that no other resource refers to
  tansyhall ctl [OPTIONS] status
        show the configuration in force at the node and at other nodes, and what the node observes
  tansyhall ctl [OPTIONS] plan
        show the desired and observed state of each pool, and whether they agree
  tansyhall ctl [OPTIONS] policy explain --request FILE
        show the class of a request and why it has this class; FILE is TOML or JSON with the keys service, path,
        prompt_tokens, output_tokens, body_bytes, tenant, model and headers
  tansyhall ctl policy format FILE
        print a policy in canonical form; needs no node
  tansyhall ctl [OPTIONS] audit
        show recent changes: when, by whom, and which resources

FILE contains resources in TOML, or one policy (*.policy, named by the file).
KIND is tenant, policy, site, service or pool.

OPTIONS:
  --node IP:PORT   a node's administration address (or TANSYHALL_NODE)
  --token TOKEN    bearer token (or TANSYHALL_TOKEN, which does not show in the process list)
  --json           print JSON instead of tables

EXIT CODES:
  0  done
  1  failed: no answer to a read, no access, or the store is unavailable and nothing was changed
  2  wrong usage, or refused because the files are invalid
  3  conflict: changed by another operator in the meantime, or still in use
  4  unknown: the change may have been made; check with diff
";

/// Options that every command has.
pub struct Options {
    /// A node's administration address.
    pub node: Option<String>,
    /// The bearer token.
    pub token: Option<String>,
    /// Whether to print JSON instead of tables.
    pub json: bool,
}

impl Options {
    /// Parses the options and removes them from `arguments`.
    pub fn parse(arguments: &mut Arguments) -> Result<Self> {
        Ok(Self {
            node: arguments.opt_value_from_str("--node")?,
            token: arguments.opt_value_from_str("--token")?,
            json: arguments.contains("--json"),
        })
    }
}

/// A command of `tansyhall ctl`.
pub enum Command {
    /// Creates or replaces the resources of files.
    Apply {
        /// The paths of the files.
        files: Vec<OsString>,
        /// Whether to check the resources without changing anything.
        dry_run: bool,
        /// The revision that the operator saw.
        revision: Option<u64>,
    },
    /// Shows what apply would change.
    Diff(Vec<OsString>),
    /// Lists the resources of a kind.
    List(String),
    /// Shows one resource, by kind and name.
    Get(String, String),
    /// Deletes a resource.
    Delete {
        /// The kind.
        kind: String,
        /// The name.
        name: String,
        /// The revision that the operator saw.
        revision: Option<u64>,
    },
    /// Shows the configuration in force and the observed state.
    Status,
    /// Shows the desired and observed state of each pool.
    Plan,
    /// Explains the class of the request that a file describes.
    Explain(OsString),
    /// Formats a policy file.
    Format(OsString),
    /// Lists recent changes.
    Audit,
}

impl Command {
    /// Parses the command and its arguments, and refuses unknown arguments.
    pub fn parse(mut arguments: Arguments) -> Result<Self> {
        let unknown = || Usage("unknown command; see tansyhall ctl --help".into());
        let command = arguments.subcommand()?.ok_or_else(unknown)?;
        let command = match command.as_str() {
            "apply" => {
                let dry_run = arguments.contains("--dry-run");
                let revision = arguments.opt_value_from_str("--revision")?;
                return Ok(Command::Apply {
                    files: arguments.finish(),
                    dry_run,
                    revision,
                });
            }
            "diff" => return Ok(Command::Diff(arguments.finish())),
            "get" => {
                let kind = arguments.free_from_str()?;
                match arguments.opt_free_from_str()? {
                    Some(name) => Command::Get(kind, name),
                    None => Command::List(kind),
                }
            }
            "delete" => {
                let revision = arguments.opt_value_from_str("--revision")?;
                Command::Delete {
                    kind: arguments.free_from_str()?,
                    name: arguments.free_from_str()?,
                    revision,
                }
            }
            "status" => Command::Status,
            "plan" => Command::Plan,
            "audit" => Command::Audit,
            "policy" => Self::parse_policy(&mut arguments)?,
            _ => bail!(unknown()),
        };
        exit::finish(arguments)?;
        Ok(command)
    }

    fn parse_policy(arguments: &mut Arguments) -> Result<Self> {
        let command: String = arguments.free_from_str()?;
        match command.as_str() {
            "explain" => {
                let file: String = arguments.value_from_str("--request")?;
                Ok(Command::Explain(file.into()))
            }
            "format" => {
                let file: String = arguments.free_from_str()?;
                Ok(Command::Format(file.into()))
            }
            _ => bail!(Usage(
                "unknown policy command, expected `policy explain` or `policy format`".into()
            )),
        }
    }
}
