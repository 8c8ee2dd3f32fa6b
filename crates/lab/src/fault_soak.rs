//! `tansyhall-lab fault-soak`: gateway processes under random faults, judged from outside them.

use std::path::PathBuf;
use std::process::ExitCode;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use actix_rt::signal::unix::{signal, SignalKind};
use anyhow::{bail, Result};
use futures_util::future::{select, Either};
use pico_args::Arguments;
use tansyhall_fault_soak::{
    load_regressions, run_episode, save_episode, Episode, EpisodePlan, FaultCounts,
    DEFAULT_OUTPUT_DIRECTORY,
};

const HELP: &str = "\
Gateway processes on real sockets under random faults, judged by what callers and workers see.

USAGE:
  tansyhall-lab fault-soak --minutes N | --seconds N [--seed S] [--seeds N] [--unsolved]
                           [--gateways N] [--deadly N] [--off NAME]... [--beside PROGRAM]
                           [--keep DIR] [--json]
  tansyhall-lab fault-soak --regressions [--keep DIR] [--json]

OPTIONS:
  --minutes N     how long faults happen, over all seeds
  --seconds N     the same in seconds
  --seed S        the first seed (default: the time); the next ones follow it
  --seeds N       how many seeds, each with an equal part of the time (default: one for 30 s)
  --regressions   the seeds that failed once, each for its time
  --unsolved      also what gateways are known not to withstand: a cut answer whose connection stays
                  open and brings the whole answer after it, callers before gateways know each other
  --gateways N    gateway processes (default: 3)
  --deadly N      requests that end each worker which begins to run them (default: 2)
  --off NAME      a mechanism of the gateways that is switched off, as under [decisions] of their settings
  --beside PROGRAM  the program of another build: gateways change between the two with each start, as while a
                  fleet is upgraded and rolled back; what the build in production does not know is not judged
  --keep DIR      where failed episodes are kept (default: target/fault-soak)
  --json          one JSON object for each episode
";

/// How long a seed's episode lasts if the number of seeds is not given, in seconds.
const EPISODE_SECONDS: u64 = 30;
/// How many violations of an episode are printed.
const PRINTED_VIOLATIONS: usize = 5;

/// Runs the command.
pub fn run(mut arguments: Arguments) -> Result<ExitCode> {
    if arguments.contains(["-h", "--help"]) {
        print!("{HELP}");
        return Ok(ExitCode::SUCCESS);
    }
    let with_unsolved = arguments.contains("--unsolved");
    let plans = plans(&mut arguments)?;
    let gateways: Option<usize> = arguments.opt_value_from_str("--gateways")?;
    let deadly: Option<usize> = arguments.opt_value_from_str("--deadly")?;
    let switched_off: Vec<String> = arguments.values_from_str("--off")?;
    let beside: Option<PathBuf> = arguments.opt_value_from_str("--beside")?;
    let directory: Option<PathBuf> = arguments.opt_value_from_str("--keep")?;
    let json = arguments.contains("--json");
    let rest = arguments.finish();
    if !rest.is_empty() {
        bail!("unknown arguments {rest:?}; see tansyhall-lab fault-soak --help");
    }
    let directory = directory.unwrap_or_else(|| DEFAULT_OUTPUT_DIRECTORY.into());
    let mut code = ExitCode::SUCCESS;
    for mut plan in plans {
        plan.include_unsolved = with_unsolved;
        plan.gateways = gateways.unwrap_or(plan.gateways);
        plan.crashing_requests = deadly.unwrap_or(plan.crashing_requests);
        plan.disabled_mechanisms.clone_from(&switched_off);
        plan.other_build.clone_from(&beside);
        let episode = actix_rt::System::new().block_on(run_or_stop(plan))?;
        print_episode(&episode, json);
        if !episode.violations.is_empty() {
            code = ExitCode::FAILURE;
            println!("kept in {}", save_episode(&episode, &directory)?.display());
        }
    }
    Ok(code)
}

/// Runs an episode, or gives it up on a signal; its processes end with it.
async fn run_or_stop(plan: EpisodePlan) -> Result<Episode> {
    let stopped = Box::pin(until_signal());
    match select(Box::pin(run_episode(plan)), stopped).await {
        Either::Left((episode, _)) => episode,
        Either::Right((told, _)) => {
            told?;
            bail!("stopped by a signal")
        }
    }
}

async fn until_signal() -> Result<()> {
    let mut interrupt = signal(SignalKind::interrupt())?;
    let mut terminate = signal(SignalKind::terminate())?;
    select(Box::pin(interrupt.recv()), Box::pin(terminate.recv())).await;
    Ok(())
}

fn plans(arguments: &mut Arguments) -> Result<Vec<EpisodePlan>> {
    if arguments.contains("--regressions") {
        let known = load_regressions()?.into_iter();
        return Ok(known
            .map(|known| EpisodePlan::new(known.seed, known.duration))
            .collect());
    }
    let minutes: Option<u64> = arguments.opt_value_from_str("--minutes")?;
    let seconds: Option<u64> = arguments.opt_value_from_str("--seconds")?;
    let Some(seconds) = seconds.or(minutes.map(|minutes| minutes * 60)) else {
        bail!("--minutes or --seconds is needed; see tansyhall-lab fault-soak --help");
    };
    let seed: Option<u64> = arguments.opt_value_from_str("--seed")?;
    let seeds: Option<u64> = arguments.opt_value_from_str("--seeds")?;
    let first = seed.unwrap_or_else(fresh_seed);
    let count = seeds.unwrap_or(seconds / EPISODE_SECONDS).max(1);
    let duration = Duration::from_secs(seconds) / u32::try_from(count)?;
    let all = first..first + count;
    Ok(all.map(|seed| EpisodePlan::new(seed, duration)).collect())
}

fn fresh_seed() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(0, |since| since.as_secs())
}

fn print_episode(episode: &Episode, json: bool) {
    let mut by_rule = FaultCounts::new();
    for violation in &episode.violations {
        *by_rule.entry(format!("{:?}", violation.rule)).or_default() += 1;
    }
    let report = serde_json::json!({
        "seed": episode.plan.seed,
        "seconds": episode.plan.duration.as_secs_f64(),
        "requests": episode.evidence.sent.len(),
        "successes": episode.successes(),
        "runs": episode.evidence.runs.len(),
        "readings": episode.evidence.readings.len(),
        "calls": episode.evidence.calls.len(),
        "faults": episode.faults,
        "violations": by_rule,
    });
    if json {
        println!("{report}");
        return;
    }
    println!(
        "seed {}: {} requests, {} successes, {} runs, {} readings, {} calls to workers; violations {by_rule:?}",
        episode.plan.seed,
        episode.evidence.sent.len(),
        episode.successes(),
        episode.evidence.runs.len(),
        episode.evidence.readings.len(),
        episode.evidence.calls.len(),
    );
    println!("  faults {:?}", episode.faults);
    for violation in episode.violations.iter().take(PRINTED_VIOLATIONS) {
        println!("  {:?}: {}", violation.rule, violation.what);
    }
}
