//! The commands of `tansyhall ctl` and their arguments.

use std::ffi::OsString;

use anyhow::{bail, Result};
use pico_args::Arguments;

use crate::exit::{self, Usage};

/// The text of `--help`.
pub const HELP: &str = "\
Operate a fleet through any node's administration API.

USAGE:
  tansyhall ctl [OPTIONS] apply FILE... [--dry-run] [--revision N]
        create or replace the files' resources, all or none. Refused if any of them was changed
        after revision N (default: the revision read when the command starts)
  tansyhall ctl [OPTIONS] diff FILE...
        what apply would change; prints the revision to give to apply
  tansyhall ctl [OPTIONS] get KIND [NAME]
        list resources, or show one
  tansyhall ctl [OPTIONS] delete KIND NAME [--revision N]
        delete a resource that nothing refers to
  tansyhall ctl [OPTIONS] status
        what is in force at the node and at the others, and what the node observes
  tansyhall ctl [OPTIONS] plan
        for each pool: what is desired, what is observed, and whether they meet
  tansyhall ctl [OPTIONS] policy explain --request FILE
        which class a request falls into and why; FILE is TOML or JSON with the keys service, path,
        prompt_tokens, output_tokens, body_bytes, tenant, model and headers
  tansyhall ctl policy format FILE
        a policy in canonical form; needs no node
  tansyhall ctl [OPTIONS] audit
        recent changes: who, when, what

FILE holds resources in TOML, or one policy (*.policy, named by the file).
KIND is tenant, policy, site, service or pool.

OPTIONS:
  --node IP:PORT   a node's administration address (or TANSYHALL_NODE)
  --token TOKEN    bearer token (or TANSYHALL_TOKEN, which does not show in the process list)
  --json           JSON for programs instead of tables

EXIT CODES:
  0  done
  1  failed: no answer to a read, no access, the store is away and nothing was changed
  2  wrong usage, or refused because the files are wrong
  3  conflict: changed by somebody else meanwhile, or still in use
  4  unknown: the change may have been made; run diff
";

/// Options of every command.
pub struct Options {
    /// A node's administration address.
    pub node: Option<String>,
    /// The bearer token.
    pub token: Option<String>,
    /// JSON instead of tables.
    pub json: bool,
}

impl Options {
    /// Reads the options.
    pub fn take(arguments: &mut Arguments) -> Result<Self> {
        Ok(Self {
            node: arguments.opt_value_from_str("--node")?,
            token: arguments.opt_value_from_str("--token")?,
            json: arguments.contains("--json"),
        })
    }
}

/// What to do.
pub enum Command {
    /// Creates or replaces the resources of files.
    Apply {
        /// The files.
        files: Vec<OsString>,
        /// Checks only.
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
    /// Shows what is in force and observed.
    Status,
    /// Shows each pool, desired and observed.
    Plan,
    /// Explains the class of the request in a file.
    Explain(OsString),
    /// Formats a policy file.
    Format(OsString),
    /// Lists recent changes.
    Audit,
}

impl Command {
    /// Reads the command and its arguments; refuses any that are left over.
    pub fn take(mut arguments: Arguments) -> Result<Self> {
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
            "policy" => Self::take_policy(&mut arguments)?,
            _ => bail!(unknown()),
        };
        exit::finish(arguments)?;
        Ok(command)
    }

    fn take_policy(arguments: &mut Arguments) -> Result<Self> {
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
            _ => bail!(Usage("policy explain or policy format?".into())),
        }
    }
}
