//! `tansyhall-lab soak`: episodes of random faults until the time is up or one fails.

use std::process::ExitCode;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use anyhow::{bail, Context, Result};
use pico_args::Arguments;
use tansyhall_soak::{soak, Episode, Report, Rule};

const HELP: &str = "\
Random faults in virtual time against an oracle, until the time is up or a violation is found.

USAGE:
  tansyhall-lab soak --seconds N [--seed S] [--break RULE] [--json]

OPTIONS:
  --seconds N    how long to run
  --seed S       seed of the first episode (default: the time)
  --break RULE   switch a mechanism off, which must find a violation: fence, drain, journal,
                 verdict or monotonic
  --json         one JSON object on the last line
";

/// Runs the command.
pub fn run(mut arguments: Arguments) -> Result<ExitCode> {
    if arguments.contains(["-h", "--help"]) {
        print!("{HELP}");
        return Ok(ExitCode::SUCCESS);
    }
    let seconds: u64 = arguments.value_from_str("--seconds")?;
    let seed: Option<u64> = arguments.opt_value_from_str("--seed")?;
    let broken: Option<String> = arguments.opt_value_from_str("--break")?;
    let json = arguments.contains("--json");
    let rest = arguments.finish();
    if !rest.is_empty() {
        bail!("unknown arguments {rest:?}; see tansyhall-lab --help");
    }
    let seed = seed.unwrap_or_else(fresh_seed);
    let broken = broken.as_deref().map(parse_rule).transpose()?;
    let until = Instant::now() + Duration::from_secs(seconds);
    let (report, failed) = soak(seed, broken, |_| Instant::now() < until);
    if let Some(episode) = &failed {
        print_failure(episode)?;
    }
    print_report(&report, json)?;
    Ok(match failed {
        None => ExitCode::SUCCESS,
        Some(_) => ExitCode::FAILURE,
    })
}

fn fresh_seed() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(0, |since| since.as_secs())
}

fn parse_rule(name: &str) -> Result<Rule> {
    let rule = Rule::ALL.into_iter().find(|rule| rule.name() == name);
    rule.with_context(|| format!("no rule {name} can be broken; see tansyhall-lab --help"))
}

fn print_failure(episode: &Episode) -> Result<()> {
    println!(
        "violation {:?} in episode {} after {} steps; smallest list of faults:",
        episode.violation, episode.seed, episode.steps
    );
    for fault in &episode.faults {
        println!("  {}", serde_json::to_string(fault)?);
    }
    Ok(())
}

fn print_report(report: &Report, json: bool) -> Result<()> {
    if json {
        println!("{}", serde_json::to_string(report)?);
        return Ok(());
    }
    println!(
        "seed {}: {} steps, {} faults, {} violations in {} episodes",
        report.seed, report.steps, report.faults, report.violations, report.episodes
    );
    Ok(())
}
