//! `tansyhall dev`: a whole small fleet in one process, over real loopback TCP.

use std::process::ExitCode;
use std::time::Duration;

use anyhow::Result;
use pico_args::Arguments;
use tansyhall_load::fleet::{Fleet, MODEL, TOKEN};
use tansyhall_load::{workload, Summary, Workload};

use crate::exit::{self, Usage};

const DEFAULT_DURATION: Duration = Duration::from_secs(20);

struct Options {
    load: Option<String>,
    duration: Duration,
    seed: u64,
    json: bool,
}

/// Runs the command.
pub fn run(mut arguments: Arguments) -> Result<ExitCode> {
    let parse = |text: &str| humantime::parse_duration(text);
    let options = Options {
        load: arguments.opt_value_from_str("--load")?,
        duration: arguments
            .opt_value_from_fn("--duration", parse)?
            .unwrap_or(DEFAULT_DURATION),
        seed: arguments.opt_value_from_str("--seed")?.unwrap_or(1),
        json: arguments.contains("--json"),
    };
    exit::finish(arguments)?;
    let load = match &options.load {
        None => None,
        Some(name) => {
            let known = Workload::named(name, options.duration, options.seed);
            let names = workload::NAMES.join(", ");
            Some(known.ok_or_else(|| Usage(format!("unknown load {name}; there are: {names}")))?)
        }
    };
    let _logger = flexi_logger::Logger::try_with_env_or_str("warn")?
        .log_to_stderr()
        .start()?;
    actix_rt::System::new().block_on(async move {
        let fleet = Fleet::start().await?;
        match load {
            Some(load) => run_load(fleet, &load, options.json).await?,
            None => stay_up(fleet).await?,
        }
        Ok(ExitCode::SUCCESS)
    })
}

async fn run_load(fleet: Fleet, load: &Workload, json: bool) -> Result<()> {
    let mut seconds = 0;
    let progress = |summary: &Summary| {
        seconds += 1;
        let Summary {
            requests,
            completed,
            in_deadline,
            not_run,
            ..
        } = summary;
        eprintln!(
            "{seconds:>3} s: {requests} requests, {completed} completed, \
             {in_deadline} in deadline, {not_run} not run"
        );
    };
    let summary = fleet.run_load(load, progress).await?;
    fleet.stop().await;
    if json {
        println!("{}", serde_json::to_string(&summary)?);
    } else {
        println!("{summary}");
    }
    Ok(())
}

async fn stay_up(fleet: Fleet) -> Result<()> {
    let callers = fleet.callers()[0];
    println!(
        "callers: {callers}   admin: {} (token {TOKEN})",
        fleet.admin()
    );
    println!(
        "curl -N http://{callers}/v1/completions -d '{{\"model\":\"{MODEL}\",\"prompt\":\"which \
         families receive rice\",\"max_tokens\":8,\"stream\":true}}'"
    );
    tokio::signal::ctrl_c().await?;
    fleet.stop().await;
    Ok(())
}
