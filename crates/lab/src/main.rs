//! The `tansyhall-lab` command: experiments on the system's decisions and programs.

#![forbid(unsafe_code)]

mod fault_soak;
mod soak;

use std::process::ExitCode;

use anyhow::{bail, Result};
use pico_args::Arguments;

const HELP: &str = "\
Experiments on tansyhall.

USAGE:
  tansyhall-lab compare --workload FILE ...   compare all strategies on the same traces
  tansyhall-lab load ...                      cost of a node per request, compared with direct requests
  tansyhall-lab soak --seconds N ...          random faults in virtual time, checked against an oracle
  tansyhall-lab fault-soak --minutes N ...    random faults in gateway processes, checked from outside
  tansyhall-lab agree [--load NAME] ...       compare a run in real time with the emulator on one trace
  tansyhall-lab paired --before TEXT ...      compare two versions on the same days of the bench's journal

`tansyhall-lab COMMAND --help` shows a command's options.

EXIT CODES:
  0  done
  1  failed while running, or a violation was found
  2  invalid arguments
";

fn main() -> ExitCode {
    match run() {
        Ok(code) => code,
        Err(error) => {
            eprintln!("tansyhall-lab: {error:#}");
            ExitCode::from(2)
        }
    }
}

fn run() -> Result<ExitCode> {
    let mut arguments = Arguments::from_env();
    let command = arguments.subcommand()?;
    match command.as_deref() {
        Some("load") => tansyhall_lab::load::command(arguments),
        Some("compare") => tansyhall_lab::compare::command(arguments),
        Some("soak") => soak::run(arguments),
        Some("fault-soak") => fault_soak::run(arguments),
        Some("paired") => tansyhall_lab::paired::command(arguments),
        Some("agree") => tansyhall_lab::agree::command(arguments),
        Some(other) => bail!("unknown command {other}; see tansyhall-lab --help"),
        None => {
            print!("{HELP}");
            Ok(ExitCode::SUCCESS)
        }
    }
}
