//! `tansyhall-lab agree`: runs the same trace through a fleet in real time and through the emulator,
//! to measure how accurate the emulator is.

mod agreement;

use std::process::ExitCode;
use std::time::Duration;

use anyhow::{bail, Context, Result};
use pico_args::Arguments;
use tansyhall_core::Timestamp;
use tansyhall_engine_model::CostModel;
use tansyhall_load::fleet::{ENGINE_COUNT, NODE_COUNT, ROLE_CHANGE_DURATION};
use tansyhall_load::{arrivals, workload, Fleet, RequestShape, Workload};
use tansyhall_routing::ChoiceSettings;

pub use agreement::{Agreement, Figures};

use crate::compare::system_strategy;
use crate::emulator::{run, Conditions};
use crate::strategy::service_rates;
use crate::workload::TraceRequest;

const HELP: &str = "\
Runs one trace through a fleet in real time, over loopback, and through the emulator.

USAGE:
  tansyhall-lab agree [--load NAME] [--duration TIME] [--seed N] [--json]

OPTIONS:
  --load NAME      mix-shift, mix-surge or steady (default: mix-shift)
  --duration TIME  duration of the load (default: 30s)
  --seed N         seed of the arrivals (default: 1)
  --json           print one JSON object instead of a table
  --help           print this help
";

const DEFAULT_DURATION: Duration = Duration::from_secs(30);
/// Mean age of a report: half the interval at which the stand-in reads its load.
const REPORT_LAG: Duration = Duration::from_millis(10);
/// One-way delay over loopback, including the time in the servers.
const LINK_DELAY: Duration = Duration::from_micros(300);
/// Time to transfer the KV cache of one token between stand-in engines.
const TRANSFER_SECONDS_PER_TOKEN: f64 = 1e-5;

/// Runs the command.
pub fn command(mut arguments: Arguments) -> Result<ExitCode> {
    if arguments.contains("--help") {
        print!("{HELP}");
        return Ok(ExitCode::SUCCESS);
    }
    let name: String = arguments
        .opt_value_from_str("--load")?
        .unwrap_or_else(|| "mix-shift".to_owned());
    let duration = arguments.opt_value_from_fn("--duration", humantime::parse_duration)?;
    let duration = duration.unwrap_or(DEFAULT_DURATION);
    let seed = arguments.opt_value_from_str("--seed")?.unwrap_or(1);
    let json = arguments.contains("--json");
    let rest = arguments.finish();
    if !rest.is_empty() {
        bail!("unknown arguments {rest:?}; see tansyhall-lab agree --help");
    }
    let load = Workload::named(&name, duration, seed)
        .with_context(|| format!("unknown load {name}; known loads: {:?}", workload::NAMES))?;
    let real = actix_rt::System::new().block_on(run_in_real_time(&load))?;
    let agreement = Agreement::new(real, emulate(&load));
    if json {
        println!("{}", serde_json::to_string(&agreement)?);
    } else {
        println!("{agreement}");
    }
    Ok(ExitCode::SUCCESS)
}

async fn run_in_real_time(load: &Workload) -> Result<Figures> {
    let fleet = Fleet::start().await?;
    let summary = fleet.run_load(load, |_| ()).await?;
    fleet.stop().await;
    Ok(Figures::from_load_summary(&summary))
}

/// Runs a load through the emulator under the conditions of the real fleet.
pub fn emulate(load: &Workload) -> Figures {
    let trace: Vec<TraceRequest> = arrivals(load)
        .into_iter()
        .map(|(due, shape)| trace_request(due, &shape))
        .collect();
    let conditions = Conditions {
        engines: ENGINE_COUNT,
        nodes: NODE_COUNT,
        costs: CostModel::default(),
        role_change: ROLE_CHANGE_DURATION,
        report_interval: Duration::from_millis(250),
        report_lag: REPORT_LAG,
        report_loss: 0.0,
        // The fleet's nodes never change roles, since its pool has no role bounds that require it; the
        // first plan is therefore scheduled after the end of the run.
        plan_interval: load.duration + Duration::from_secs(3_600),
        link_delay: LINK_DELAY,
        transfer_token: TRANSFER_SECONDS_PER_TOKEN,
        crashes_per_minute: 0.0,
        restart: Duration::ZERO,
        outage: None,
        seed: load.seed,
    };
    let rates = service_rates(&conditions.costs, conditions.transfer_token);
    let mut strategy = system_strategy(rates, ChoiceSettings::default());
    Figures::from_emulation(&run(&conditions, &trace, &mut strategy))
}

/// Requests with longer prompts belong to the fleet's review class, which has the lowest priority.
const LONG_PROMPT_TOKENS: u32 = 500;

fn trace_request(due: Duration, shape: &RequestShape) -> TraceRequest {
    let arrival = Timestamp::default() + due;
    let is_review = shape.prompt_tokens > LONG_PROMPT_TOKENS;
    TraceRequest {
        arrival,
        class: usize::from(is_review),
        prompt_tokens: shape.prompt_tokens,
        output_tokens: shape.output_tokens,
        deadline: arrival + shape.deadline,
        priority: u8::from(is_review),
    }
}
