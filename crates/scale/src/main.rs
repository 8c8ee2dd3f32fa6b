//! `tansyhall-scale`: one scale run; its report is one JSON object on the last line.

#![forbid(unsafe_code)]

use std::time::Duration;

use anyhow::Result;
use pico_args::Arguments;
use tansyhall_scale::ScaleOptions;

const HELP: &str = "\
Runs hollow nodes over loopback sockets and reports what they cost.

USAGE:
  tansyhall-scale [OPTIONS]

OPTIONS:
  --nodes N      hollow nodes (default: 320)
  --zones N      zones (default: 5)
  --threads N    threads that they share (default: 4)
  --warm-up N    seconds before the measurement (default: 60)
  --seconds N    seconds of the measurement (default: 30)
  --help         this text
";

fn main() -> Result<()> {
    let mut arguments = Arguments::from_env();
    if arguments.contains("--help") {
        print!("{HELP}");
        return Ok(());
    }
    let defaults = ScaleOptions::default();
    let mut seconds = |name, default: Duration| -> Result<Duration> {
        let value = arguments.opt_value_from_str(name)?;
        Ok(value.map_or(default, Duration::from_secs))
    };
    let warm_up = seconds("--warm-up", defaults.warm_up)?;
    let duration = seconds("--seconds", defaults.duration)?;
    let nodes = arguments.opt_value_from_str("--nodes")?;
    let zones = arguments.opt_value_from_str("--zones")?;
    let threads = arguments.opt_value_from_str("--threads")?;
    let options = ScaleOptions {
        nodes: nodes.unwrap_or(defaults.nodes),
        zones: zones.unwrap_or(defaults.zones).max(1),
        threads: threads.unwrap_or(defaults.threads).max(1),
        warm_up,
        duration,
        ..defaults
    };
    let report = actix_rt::System::new().block_on(tansyhall_scale::run(options))?;
    println!("{}", serde_json::to_string(&report)?);
    Ok(())
}
