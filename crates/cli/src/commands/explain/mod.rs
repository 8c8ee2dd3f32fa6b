//! `tansyhall explain`: explains one request, or summarizes all requests, from the logs of gateways.

mod line;
mod request;
mod summary;
mod table;

use std::process::ExitCode;

use anyhow::Result;
use pico_args::Arguments;

use crate::exit::Usage;

const HELP: &str = "\
Explain one request from the logs of gateways: its log lines in order of time, and why it ended as it
did. Or summarize all requests: how they ended, and the expected and observed times of each kind of work.

USAGE:
  tansyhall explain --request ID [--json] FILE...
  tansyhall explain --summary [--every SECONDS] FILE...

FILE contains lines of the standard output of one or more gateways; text before a line's JSON is
ignored. --json prints one JSON object with the lines and the cause. --every sets the length of
the intervals that the summary shows (default: 2).

EXIT CODES:
  0  the request was found, or there were lines to summarize
  1  no line names the request, or the files contain no line of a gateway's log
  2  wrong usage, or a file that cannot be read
";

/// Default length of the summary's intervals, in seconds.
const DEFAULT_INTERVAL_SECONDS: u64 = 2;

/// Runs the command.
pub fn run(mut arguments: Arguments) -> Result<ExitCode> {
    if arguments.contains(["-h", "--help"]) {
        print!("{HELP}");
        return Ok(ExitCode::SUCCESS);
    }
    if arguments.contains("--summary") {
        let interval_seconds: Option<u64> = arguments.opt_value_from_str("--every")?;
        let interval_seconds = interval_seconds.unwrap_or(DEFAULT_INTERVAL_SECONDS);
        if interval_seconds == 0 {
            anyhow::bail!(Usage("--every must be at least 1 second".into()));
        }
        return Ok(summary::explain(&read_logs(arguments)?, interval_seconds));
    }
    let request: String = arguments.value_from_str("--request")?;
    let as_json = arguments.contains("--json");
    Ok(request::explain(&read_logs(arguments)?, &request, as_json))
}

/// Reads the files that the remaining arguments name.
fn read_logs(arguments: Arguments) -> Result<Vec<String>> {
    let files = arguments.finish();
    if files.is_empty() {
        anyhow::bail!(Usage("no files given; see tansyhall explain --help".into()));
    }
    let mut logs = Vec::new();
    for file in &files {
        let name = file.to_string_lossy();
        let bytes = std::fs::read(file).map_err(|e| Usage(format!("{name}: {e}")))?;
        logs.push(String::from_utf8_lossy(&bytes).into_owned());
    }
    Ok(logs)
}
