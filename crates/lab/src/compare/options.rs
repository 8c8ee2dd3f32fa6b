//! Options of `tansyhall-lab compare`.

use std::path::PathBuf;
use std::time::Duration;

use anyhow::{bail, Result};
use pico_args::Arguments;
use tansyhall_engine_model::CostModel;
use tansyhall_routing::ChoiceSettings;

use crate::emulator::Conditions;
use crate::workload::Workload;

/// Help of the command.
pub const HELP: &str = "\
Every strategy on the same traces, side by side, in virtual time.

USAGE:
  tansyhall-lab compare --workload FILE [--seeds N] [--first-seed S] [--faults]
                        [--threads N] [--report DIR] [--json]

OPTIONS:
  --workload FILE   a workload file; see docs/workloads.md
  --seeds N         number of traces (default: 5)
  --first-seed S    seed of the first trace (default: 1)
  --faults          lose a tenth of the reports, let them be 2 s old, crash an engine a minute,
                    and take the store away for the middle third of the run
  --threads N       traces emulated at once (default: 4)
  --without-search  keep the clairvoyant's engines mixed instead of searching for its roles
  --harm-weight W, --refuse-above R, --safe-below R
                    override settings of the system's own strategy
  --report DIR      write an HTML page with plots
  --json            one JSON object on the last line
";

/// The options.
#[derive(Debug, Clone)]
pub struct Options {
    /// The workload file.
    pub workload: PathBuf,
    /// Number of traces.
    pub seeds: u64,
    /// Seed of the first trace.
    pub first_seed: u64,
    /// Whether faults happen.
    pub faults: bool,
    /// Traces emulated at once.
    pub threads: usize,
    /// Whether to leave out the search for the clairvoyant's roles, which takes most of the time.
    pub without_search: bool,
    /// Overrides of the choice's settings.
    pub choice: ChoiceSettings,
    /// Where to write a page.
    pub report: Option<PathBuf>,
    /// Whether to print JSON.
    pub json: bool,
}

/// Traces of a comparison.
const DEFAULT_SEEDS: u64 = 5;
/// Traces emulated at once.
const DEFAULT_THREADS: usize = 4;
/// Age of reports without faults.
const REPORT_LAG: Duration = Duration::from_millis(300);
/// Age of reports under faults.
const FAULT_REPORT_LAG: Duration = Duration::from_secs(2);
/// Part of the reports lost under faults.
const FAULT_REPORT_LOSS: f64 = 0.1;
/// Moving one token's KV cache: 100 KB at 10 GB/s, in seconds.
const TRANSFER_TOKEN: f64 = 1e-5;

impl Default for Options {
    fn default() -> Self {
        Self {
            workload: PathBuf::new(),
            seeds: DEFAULT_SEEDS,
            first_seed: 1,
            faults: false,
            threads: DEFAULT_THREADS,
            without_search: false,
            choice: ChoiceSettings::default(),
            report: None,
            json: false,
        }
    }
}

impl Options {
    /// Parses the options.
    pub fn parse(mut arguments: Arguments) -> Result<Self> {
        if arguments.contains(["-h", "--help"]) {
            print!("{HELP}");
            std::process::exit(0);
        }
        let defaults = Self::default();
        let choice = defaults.choice;
        let options = Self {
            workload: arguments.value_from_str("--workload")?,
            seeds: arguments
                .opt_value_from_str("--seeds")?
                .unwrap_or(defaults.seeds),
            first_seed: arguments
                .opt_value_from_str("--first-seed")?
                .unwrap_or(defaults.first_seed),
            faults: arguments.contains("--faults"),
            threads: arguments
                .opt_value_from_str("--threads")?
                .unwrap_or(defaults.threads),
            without_search: arguments.contains("--without-search"),
            choice: ChoiceSettings {
                harm_weight: arguments
                    .opt_value_from_str("--harm-weight")?
                    .unwrap_or(choice.harm_weight),
                refuse_above: arguments
                    .opt_value_from_str("--refuse-above")?
                    .unwrap_or(choice.refuse_above),
                safe_below: arguments
                    .opt_value_from_str("--safe-below")?
                    .unwrap_or(choice.safe_below),
            },
            report: arguments.opt_value_from_str("--report")?,
            json: arguments.contains("--json"),
        };
        let rest = arguments.finish();
        if !rest.is_empty() {
            bail!("unknown arguments {rest:?}; see tansyhall-lab compare --help");
        }
        if options.seeds == 0 || options.threads == 0 {
            bail!("--seeds and --threads must be 1 or more");
        }
        Ok(options)
    }

    /// What a trace of the workload runs under.
    pub fn conditions(&self, workload: &Workload, seed: u64) -> Conditions {
        let third = workload.duration() / 3;
        Conditions {
            engines: workload.engines,
            nodes: workload.nodes,
            costs: CostModel::default(),
            role_change: workload.role_change,
            report_period: Duration::from_millis(250),
            report_lag: if self.faults {
                FAULT_REPORT_LAG
            } else {
                REPORT_LAG
            },
            report_loss: if self.faults { FAULT_REPORT_LOSS } else { 0.0 },
            plan_period: Duration::from_millis(500),
            link_delay: Duration::from_millis(1),
            transfer_token: TRANSFER_TOKEN,
            crashes_per_minute: if self.faults { 1.0 } else { 0.0 },
            restart: Duration::from_secs(10),
            outage: self.faults.then_some((third, third)),
            seed,
        }
    }
}
