//! `tansyhall-lab fault-soak`: injects random faults into gateway processes and checks what their
//! callers and workers observe.

use std::path::PathBuf;
use std::process::ExitCode;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use actix_rt::signal::unix::{signal, SignalKind};
use anyhow::{bail, Result};
use futures_util::future::{select, Either};
use pico_args::Arguments;
use tansyhall_fault_soak::{
    load_regressions, run_episode, save_episode, Episode, EpisodePlan, FaultCounts, Focus,
    DEFAULT_OUTPUT_DIRECTORY,
};

const HELP: &str = "\
Injects random faults into gateway processes on real sockets and checks what callers and workers
observe.

USAGE:
  tansyhall-lab fault-soak --minutes N | --seconds N [--seed S] [--seeds N] [--unsolved]
                           [--gateways N] [--deadly N] [--off NAME]... [--beside PROGRAM]
                           [--only-partitions | --departures] [--keep DIR] [--json]
  tansyhall-lab fault-soak --regressions [--keep DIR] [--json]

OPTIONS:
  --minutes N     total time during which faults are injected, over all seeds
  --seconds N     the same, in seconds
  --seed S        the first seed (default: the current time in seconds); the others follow it
  --seeds N       number of seeds; each gets an equal part of the time (default: one per 30 s)
  --regressions   run the seeds that have failed before, each for its recorded duration
  --unsolved      also inject faults that gateways are known not to handle: a truncated answer whose
                  connection stays open and then delivers the complete answer, and callers that send
                  requests before the gateways know each other
  --gateways N    number of gateway processes (default: 3)
  --deadly N      number of requests that crash each worker that starts to run them (default: 2)
  --only-partitions  partition gateways from workers and make workers fall silent, but disturb nothing else
  --departures    workers depart while the store ignores some gateways and others stop or stand still
  --off NAME      disable a mechanism of the gateways, named as under [decisions] in their settings
  --beside PROGRAM  executable of another build: gateways alternate between the two builds at each start, as
                  during an upgrade and a rollback of a fleet; behaviour that the build in production does
                  not have yet is not checked
  --keep DIR      directory for failed episodes (default: target/fault-soak)
  --json          print one JSON object per episode
";

/// Duration of an episode if the number of seeds is not given.
const DEFAULT_EPISODE_SECONDS: u64 = 30;
/// Maximum number of violations printed per episode.
const MAX_PRINTED_VIOLATIONS: usize = 5;

/// Runs the command.
pub fn run(mut arguments: Arguments) -> Result<ExitCode> {
    if arguments.contains(["-h", "--help"]) {
        print!("{HELP}");
        return Ok(ExitCode::SUCCESS);
    }
    let include_unsolved = arguments.contains("--unsolved");
    let focus = match (
        arguments.contains("--only-partitions"),
        arguments.contains("--departures"),
    ) {
        (true, true) => bail!("--only-partitions and --departures exclude each other"),
        (true, false) => Focus::PartitionsAndSilences,
        (false, true) => Focus::Departures,
        (false, false) => Focus::Everything,
    };
    let plans = plans(&mut arguments)?;
    let gateways: Option<usize> = arguments.opt_value_from_str("--gateways")?;
    let crashing_requests: Option<usize> = arguments.opt_value_from_str("--deadly")?;
    let disabled_mechanisms: Vec<String> = arguments.values_from_str("--off")?;
    let other_build: Option<PathBuf> = arguments.opt_value_from_str("--beside")?;
    let directory: Option<PathBuf> = arguments.opt_value_from_str("--keep")?;
    let json = arguments.contains("--json");
    let rest = arguments.finish();
    if !rest.is_empty() {
        bail!("unknown arguments {rest:?}; see tansyhall-lab fault-soak --help");
    }
    let directory = directory.unwrap_or_else(|| DEFAULT_OUTPUT_DIRECTORY.into());
    let mut code = ExitCode::SUCCESS;
    for mut plan in plans {
        plan.include_unsolved = include_unsolved;
        plan.focus = focus;
        plan.gateways = gateways.unwrap_or(plan.gateways);
        plan.crashing_requests = crashing_requests.unwrap_or(plan.crashing_requests);
        plan.disabled_mechanisms.clone_from(&disabled_mechanisms);
        plan.other_build.clone_from(&other_build);
        let episode = actix_rt::System::new().block_on(run_unless_signalled(plan))?;
        print_episode(&episode, json);
        if !episode.violations.is_empty() {
            code = ExitCode::FAILURE;
            println!("kept in {}", save_episode(&episode, &directory)?.display());
        }
    }
    Ok(code)
}

/// Runs an episode; a signal cancels it and ends its processes.
async fn run_unless_signalled(plan: EpisodePlan) -> Result<Episode> {
    let signalled = Box::pin(wait_for_signal());
    match select(Box::pin(run_episode(plan)), signalled).await {
        Either::Left((episode, _)) => episode,
        Either::Right((result, _)) => {
            result?;
            bail!("cancelled by a signal")
        }
    }
}

async fn wait_for_signal() -> Result<()> {
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
        bail!("--minutes or --seconds is required; see tansyhall-lab fault-soak --help");
    };
    let seed: Option<u64> = arguments.opt_value_from_str("--seed")?;
    let seeds: Option<u64> = arguments.opt_value_from_str("--seeds")?;
    let first = seed.unwrap_or_else(seed_from_clock);
    let count = seeds.unwrap_or(seconds / DEFAULT_EPISODE_SECONDS).max(1);
    let duration = Duration::from_secs(seconds) / u32::try_from(count)?;
    let seed_range = first..first + count;
    Ok(seed_range
        .map(|seed| EpisodePlan::new(seed, duration))
        .collect())
}

fn seed_from_clock() -> u64 {
    let elapsed = SystemTime::now().duration_since(UNIX_EPOCH);
    elapsed.map_or(0, |elapsed| elapsed.as_secs())
}

fn print_episode(episode: &Episode, json: bool) {
    let mut violations_by_rule = FaultCounts::new();
    for violation in &episode.violations {
        *violations_by_rule
            .entry(format!("{:?}", violation.rule))
            .or_default() += 1;
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
        "violations": violations_by_rule,
    });
    if json {
        println!("{report}");
        return;
    }
    println!(
        "seed {}: {} requests, {} successes, {} runs, {} readings, {} calls to workers; violations {violations_by_rule:?}",
        episode.plan.seed,
        episode.evidence.sent.len(),
        episode.successes(),
        episode.evidence.runs.len(),
        episode.evidence.readings.len(),
        episode.evidence.calls.len(),
    );
    println!("  faults {:?}", episode.faults);
    for violation in episode.violations.iter().take(MAX_PRINTED_VIOLATIONS) {
        println!("  {:?}: {}", violation.rule, violation.what);
    }
}
