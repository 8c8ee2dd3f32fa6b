//! `tansyhall dev`: runs a small fleet in one process, which communicates over loopback TCP connections.

use std::process::ExitCode;
use std::time::Duration;

use anyhow::Result;
use pico_args::Arguments;
use tansyhall_load::fleet::{Fleet, MODEL, OPERATOR_TOKEN};
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
            let workload = Workload::named(name, options.duration, options.seed);
            let names = workload::NAMES.join(", ");
            Some(
                workload
                    .ok_or_else(|| Usage(format!("unknown load {name}; known loads: {names}")))?,
            )
        }
    };
    let _logger = flexi_logger::Logger::try_with_env_or_str("warn")?
        .log_to_stderr()
        .start()?;
    actix_rt::System::new().block_on(async move {
        let fleet = Fleet::start().await?;
        match load {
            Some(load) => run_load(fleet, &load, options.json).await?,
            None => run_until_interrupted(fleet).await?,
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
             {in_deadline} within their deadline, {not_run} not run"
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

async fn run_until_interrupted(fleet: Fleet) -> Result<()> {
    let callers = fleet.caller_addresses()[0];
    println!(
        "callers: {callers}   admin: {} (token {OPERATOR_TOKEN})",
        fleet.admin_address()
    );
    println!(
        "curl -N http://{callers}/v1/completions -d '{{\"model\":\"{MODEL}\",\"prompt\":\"which \
         families receive rice\",\"max_tokens\":8,\"stream\":true}}'"
    );
    tokio::signal::ctrl_c().await?;
    fleet.stop().await;
    Ok(())
}
