//! Options of `tansyhall-lab load`.

use std::time::Duration;

use anyhow::{bail, Result};
use pico_args::Arguments;

const HELP: &str = "\
What a node adds to a request, against going straight to a stand-in, in one run.

USAGE:
  tansyhall-lab load [--seconds N] [--connections N] [--threads N] [--streams N] [--json]

OPTIONS:
  --seconds N      length of each measurement (default: 5)
  --connections N  connections of short application requests (default: 64)
  --threads N      the node's threads (default: 4)
  --streams N      concurrent streams for the node's memory (default: 2000)
  --json           one JSON object on the last line

Needs `tansyhall` and `tansyhall-standin` built beside it: cargo build --release --workspace
";

/// The options.
#[derive(Debug, Clone)]
pub struct Options {
    /// Length of each measurement.
    pub duration: Duration,
    /// Connections of short requests.
    pub connections: usize,
    /// The node's threads.
    pub node_threads: usize,
    /// Concurrent streams.
    pub streams: usize,
    /// Whether to print one line.
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
