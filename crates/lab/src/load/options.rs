//! Options of `tansyhall-lab load`.

use std::time::Duration;

use anyhow::{bail, Result};
use pico_args::Arguments;

const HELP: &str = "\
Measures what a node adds to the cost of a request, compared with direct requests to a stand-in
in the same run.

USAGE:
  tansyhall-lab load [--seconds N] [--connections N] [--threads N] [--streams N] [--json]

OPTIONS:
  --seconds N      duration of each measurement (default: 5)
  --connections N  number of connections for short application requests (default: 64)
  --threads N      number of threads of the node (default: 4)
  --streams N      number of concurrent streams when measuring the node's memory (default: 2000)
  --json           print one JSON object on the last line

Needs the programs `tansyhall` and `tansyhall-standin` in the same build directory: cargo build --release --workspace
";

/// The options.
#[derive(Debug, Clone)]
pub struct Options {
    /// Duration of each measurement.
    pub duration: Duration,
    /// Number of connections for short requests.
    pub connections: usize,
    /// Number of threads of the node.
    pub node_threads: usize,
    /// Number of concurrent streams.
    pub streams: usize,
    /// Whether to print the report as JSON on one line.
    pub json: bool,
}

impl Options {
    /// Parses the options.
    pub fn parse(mut arguments: Arguments) -> Result<Self> {
        if arguments.contains(["-h", "--help"]) {
            print!("{HELP}");
            std::process::exit(0);
        }
        let seconds: Option<u64> = arguments.opt_value_from_str("--seconds")?;
        let options = Self {
            duration: Duration::from_secs(seconds.unwrap_or(5).max(1)),
            connections: arguments
                .opt_value_from_str("--connections")?
                .unwrap_or(64)
                .max(1),
            node_threads: arguments.opt_value_from_str("--threads")?.unwrap_or(4),
            streams: arguments.opt_value_from_str("--streams")?.unwrap_or(2_000),
            json: arguments.contains("--json"),
        };
        let rest = arguments.finish();
        if !rest.is_empty() {
            bail!("unknown arguments {rest:?}; see tansyhall-lab load --help");
        }
        Ok(options)
    }
}
