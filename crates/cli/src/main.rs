//! The `tansyhall` command with its subcommands `node`, `gateway`, `ctl`, `check`, `explain` and `dev`.

#![forbid(unsafe_code)]

mod commands;
mod exit;

use std::process::ExitCode;

use anyhow::{bail, Result};
use pico_args::Arguments;

const HELP: &str = "\
tansyhall: serving for a fixed fleet of model engines under a changing mix of requests.

USAGE:
  tansyhall node --settings FILE          run a node
  tansyhall gateway --settings FILE       run a gateway on the users' platform
  tansyhall ctl COMMAND ...               operate a fleet; see `tansyhall ctl --help`
  tansyhall check FILE...                 check settings, resource and policy files
  tansyhall explain --request ID FILE...  explain from gateways' logs why a request ended as it did
  tansyhall dev [--load NAME] [--duration TIME] [--seed N] [--json]
                                          run a small fleet in one process
  tansyhall --help | --version

EXIT CODES:
  0  done
  1  failed while running
  2  wrong usage, or an error in a file
";

fn main() -> ExitCode {
    match run() {
        Ok(code) => code,
        Err(error) => {
            eprintln!("tansyhall: {error:#}");
            exit::exit_code(&error)
        }
    }
}

fn run() -> Result<ExitCode> {
    let mut arguments = Arguments::from_env();
    let command = arguments.subcommand()?;
    match command.as_deref() {
        Some("node") => commands::node::run(arguments),
        Some("explain") => commands::explain::run(arguments),
        Some("gateway") => commands::gateway::run(arguments),
        Some("ctl") => commands::ctl::run(arguments),
        Some("check") => commands::check::run(arguments),
        Some("dev") => commands::dev::run(arguments),
        Some(other) => bail!(exit::Usage(format!(
            "unknown command {other}; see tansyhall --help"
        ))),
        None if arguments.contains("--version") => {
            println!("tansyhall {}", env!("CARGO_PKG_VERSION"));
            Ok(ExitCode::SUCCESS)
        }
        None if arguments.contains(["-h", "--help"]) => {
            print!("{HELP}");
            Ok(ExitCode::SUCCESS)
        }
        None => {
            eprint!("{HELP}");
            Ok(ExitCode::from(exit::USAGE))
        }
    }
}
