//! `tansyhall-lab soak`: runs episodes of random faults until the time is up or an episode fails.

use std::process::ExitCode;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use anyhow::{bail, Context, Result};
use pico_args::Arguments;
use tansyhall_soak::{soak, Episode, Report, Rule};

const HELP: &str = "\
Injects random faults in virtual time and checks the results against an oracle, until the time is
up or a violation is found.

USAGE:
  tansyhall-lab soak --seconds N [--seed S] [--break RULE] [--json]

OPTIONS:
  --seconds N    how long to run
  --seed S       seed of the first episode (default: the current time in seconds)
  --break RULE   disable a mechanism, so that a violation must be found: fence, drain, journal,
                 verdict or monotonic
  --json         print one JSON object on the last line
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
    let seed = seed.unwrap_or_else(seed_from_clock);
    let broken = broken.as_deref().map(parse_rule).transpose()?;
    let deadline = Instant::now() + Duration::from_secs(seconds);
    let (report, failed) = soak(seed, broken, |_| Instant::now() < deadline);
    if let Some(episode) = &failed {
        print_failure(episode)?;
    }
    print_report(&report, json)?;
    Ok(match failed {
        None => ExitCode::SUCCESS,
        Some(_) => ExitCode::FAILURE,
    })
}

fn seed_from_clock() -> u64 {
    let elapsed = SystemTime::now().duration_since(UNIX_EPOCH);
    elapsed.map_or(0, |elapsed| elapsed.as_secs())
}

fn parse_rule(name: &str) -> Result<Rule> {
    let rule = Rule::ALL.into_iter().find(|rule| rule.name() == name);
    rule.with_context(|| format!("there is no rule {name} to break; see tansyhall-lab --help"))
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
