//! Options of `tansyhall-lab compare`.

use std::path::PathBuf;
use std::time::Duration;

use anyhow::{bail, Result};
use pico_args::Arguments;
use tansyhall_engine_model::CostModel;
use tansyhall_routing::ChoiceSettings;

use crate::emulator::Conditions;
use crate::workload::Workload;

/// Help text of the command.
pub const HELP: &str = "\
Runs all strategies on the same traces in virtual time and compares the results.

USAGE:
  tansyhall-lab compare --workload FILE [--seeds N] [--first-seed S] [--faults]
                        [--threads N] [--report DIR] [--json]

OPTIONS:
  --workload FILE   workload file; see docs/workloads.md
  --seeds N         number of traces (default: 5)
  --first-seed S    seed of the first trace (default: 1)
  --faults          lose a tenth of the reports, delay the others by 2 s, crash one engine per
                    minute, and make the store unavailable for the middle third of the run
  --threads N       number of traces emulated in parallel (default: 4)
  --without-search  keep the clairvoyant's engines mixed instead of searching for its roles
  --harm-weight W, --refuse-above R, --safe-below R
                    override settings of the system's strategy
  --report DIR      write an HTML page with plots
  --json            print one JSON object on the last line
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
    /// Whether faults are injected.
    pub faults: bool,
    /// Number of traces emulated in parallel.
    pub threads: usize,
    /// Whether to skip the search for the clairvoyant's roles, which takes most of the time.
    pub without_search: bool,
    /// Settings of the system's engine choice, with overrides applied.
    pub choice: ChoiceSettings,
    /// Directory of the HTML report.
    pub report: Option<PathBuf>,
    /// Whether to print JSON.
    pub json: bool,
}

/// Default number of traces.
const DEFAULT_SEEDS: u64 = 5;
/// Default number of traces emulated in parallel.
const DEFAULT_THREADS: usize = 4;
/// Age of a report on arrival, without faults.
const REPORT_LAG: Duration = Duration::from_millis(300);
/// Age of a report on arrival, with faults.
const FAULT_REPORT_LAG: Duration = Duration::from_secs(2);
/// Fraction of reports lost, with faults.
const FAULT_REPORT_LOSS: f64 = 0.1;
/// Time to transfer the KV cache of one token: 100 KB at 10 GB/s.
const TRANSFER_SECONDS_PER_TOKEN: f64 = 1e-5;

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

    /// Returns the conditions under which a trace of the workload runs.
    pub fn conditions(&self, workload: &Workload, seed: u64) -> Conditions {
        let third = workload.duration() / 3;
        Conditions {
            engines: workload.engines,
            nodes: workload.nodes,
            costs: CostModel::default(),
            role_change: workload.role_change,
            report_interval: Duration::from_millis(250),
            report_lag: if self.faults {
                FAULT_REPORT_LAG
            } else {
                REPORT_LAG
            },
            report_loss: if self.faults { FAULT_REPORT_LOSS } else { 0.0 },
            plan_interval: Duration::from_millis(500),
            link_delay: Duration::from_millis(1),
            transfer_token: TRANSFER_SECONDS_PER_TOKEN,
            crashes_per_minute: if self.faults { 1.0 } else { 0.0 },
            restart: Duration::from_secs(10),
            outage: self.faults.then_some((third, third)),
            seed,
        }
    }
}
