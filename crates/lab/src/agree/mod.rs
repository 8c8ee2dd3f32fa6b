//! `tansyhall-lab agree`: the same trace through a fleet in real time and through the emulator, to
//! see how far what the emulator says can be believed.

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

use crate::compare::own_strategy;
use crate::emulator::{run, Conditions};
use crate::strategy::service_rates;
use crate::workload::TraceRequest;

const HELP: &str = "\
Runs one trace through a fleet in real time, over loopback, and through the emulator.

USAGE:
  tansyhall-lab agree [--load NAME] [--duration TIME] [--seed N] [--json]

OPTIONS:
  --load NAME      mix-shift, mix-surge or steady (default: mix-shift)
  --duration TIME  how long the load lasts (default: 30s)
  --seed N         seed of the arrivals (default: 1)
  --json           one JSON object instead of a table
  --help           this text
";

const DEFAULT_DURATION: Duration = Duration::from_secs(30);
/// Time between the stand-in's reads of its load, halved: the mean age of a report.
const REPORT_LAG: Duration = Duration::from_millis(10);
/// One way over loopback, servers included.
const LINK_DELAY: Duration = Duration::from_micros(300);
/// Moving the KV cache of one token between stand-in engines, in seconds.
const TRANSFER_TOKEN: f64 = 1e-5;

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
        .with_context(|| format!("unknown load {name}; there are: {:?}", workload::NAMES))?;
    let real = actix_rt::System::new().block_on(run_for_real(&load))?;
    let agreement = Agreement::new(real, emulate(&load));
    if json {
        println!("{}", serde_json::to_string(&agreement)?);
    } else {
        println!("{agreement}");
    }
    Ok(ExitCode::SUCCESS)
}

async fn run_for_real(load: &Workload) -> Result<Figures> {
    let fleet = Fleet::start().await?;
    let summary = fleet.run_load(load, |_| ()).await?;
    fleet.stop().await;
    Ok(Figures::of_load(&summary))
}

/// Runs a load through the emulator, under the conditions of the real fleet.
pub fn emulate(load: &Workload) -> Figures {
    let trace: Vec<TraceRequest> = arrivals(load)
        .into_iter()
        .map(|(due, shape)| traced(due, &shape))
        .collect();
    let conditions = Conditions {
        engines: ENGINE_COUNT,
        nodes: NODE_COUNT,
        costs: CostModel::default(),
        role_change: ROLE_CHANGE_DURATION,
        report_period: Duration::from_millis(250),
        report_lag: REPORT_LAG,
        report_loss: 0.0,
        // The fleet's nodes change no roles: its pool has no bounds that ask for it.
        plan_period: load.duration + Duration::from_secs(3_600),
        link_delay: LINK_DELAY,
        transfer_token: TRANSFER_TOKEN,
        crashes_per_minute: 0.0,
        restart: Duration::ZERO,
        outage: None,
        seed: load.seed,
    };
    let rates = service_rates(&conditions.costs, conditions.transfer_token);
    let mut strategy = own_strategy(rates, ChoiceSettings::default());
    Figures::of_emulation(&run(&conditions, &trace, &mut strategy))
}

/// Prompts longer than this are of the fleet's class of reviews, which gives way to the others.
const LONG_PROMPT_TOKENS: u32 = 500;

fn traced(due: Duration, shape: &RequestShape) -> TraceRequest {
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
