//! `tansyhall explain`: what the logs of gateways say of one request, or of a whole day.

mod line;
mod request;
mod summary;
mod table;

use std::process::ExitCode;

use anyhow::Result;
use pico_args::Arguments;

use crate::exit::Usage;

const HELP: &str = "\
Explain what gateways logged: one request, in order, and why it ended as it did; or a whole day,
with what was expected of each kind of work against what it took.

USAGE:
  tansyhall explain --request ID [--json] FILE...
  tansyhall explain --summary [--every SECONDS] FILE...

FILE holds lines of standard output of one or more gateways; what stands before a line's JSON is
passed over. --json prints one JSON object: the lines and the cause. --every sets the length of
the spans of time that the summary shows (default: 2).

EXIT CODES:
  0  the request was found, or there was something to sum up
  1  no line names it, or there is none
  2  wrong usage, or a file that cannot be read
";

/// Seconds of a span of the summary if none is asked for.
const DEFAULT_SPAN: u64 = 2;

/// Runs the command.
pub fn run(mut arguments: Arguments) -> Result<ExitCode> {
    if arguments.contains(["-h", "--help"]) {
        print!("{HELP}");
        return Ok(ExitCode::SUCCESS);
    }
    if arguments.contains("--summary") {
        let every: Option<u64> = arguments.opt_value_from_str("--every")?;
        let every = every.unwrap_or(DEFAULT_SPAN);
        if every == 0 {
            anyhow::bail!(Usage("--every must be at least 1 second".into()));
        }
        return Ok(summary::explain(&read_logs(arguments)?, every));
    }
    let request: String = arguments.value_from_str("--request")?;
    let as_json = arguments.contains("--json");
    Ok(request::explain(&read_logs(arguments)?, &request, as_json))
}

/// The texts of the files that are left on the command line.
fn read_logs(arguments: Arguments) -> Result<Vec<String>> {
    let files = arguments.finish();
    if files.is_empty() {
        anyhow::bail!(Usage("which files? see tansyhall explain --help".into()));
    }
    let mut logs = Vec::new();
    for file in &files {
        let name = file.to_string_lossy();
        let bytes = std::fs::read(file).map_err(|e| Usage(format!("{name}: {e}")))?;
        logs.push(String::from_utf8_lossy(&bytes).into_owned());
    }
    Ok(logs)
}
