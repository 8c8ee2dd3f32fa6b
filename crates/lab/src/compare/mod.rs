//! `tansyhall-lab compare`: runs all strategies on the same traces and compares the results.

mod options;
mod report;
mod search;
mod statistics;
mod table;

use std::process::ExitCode;

use anyhow::Result;
use pico_args::Arguments;
use tansyhall_planner::predictive::PlannerSettings;
use tansyhall_routing::{ChoiceSettings, ServiceRates};

use crate::emulator::{run, Conditions, Outcome};
use crate::strategy::{service_rates, Balance, Predictive, Reactive, Static, Strategy};
use crate::workload::{TraceRequest, Workload};
pub use options::Options;
use statistics::{summarise, StrategySummary};

/// Outcomes of all strategies for one seed.
pub struct SeedOutcomes {
    /// Name and outcome of each strategy, in the order of the table.
    pub strategies: Vec<(String, Outcome)>,
}

/// Runs the command.
pub fn command(arguments: Arguments) -> Result<ExitCode> {
    let options = Options::parse(arguments)?;
    let workload = Workload::parse(&std::fs::read_to_string(&options.workload)?)?;
    let outcomes = compare(&workload, &options);
    let summaries = summarise(&outcomes);
    if options.json {
        println!("{}", table::json(&workload, &options, &summaries)?);
    } else {
        println!("{}", table::text(&workload, &options, &summaries));
    }
    if let Some(directory) = &options.report {
        report::write(directory, &workload, &outcomes, &summaries)?;
    }
    Ok(ExitCode::SUCCESS)
}

/// Runs all strategies on all seeds, with one thread per seed.
pub fn compare(workload: &Workload, options: &Options) -> Vec<SeedOutcomes> {
    let seeds: Vec<u64> = (0..options.seeds)
        .map(|index| options.first_seed + index)
        .collect();
    std::thread::scope(|scope| {
        let mut outcomes = Vec::new();
        for chunk in seeds.chunks(options.threads) {
            let threads: Vec<_> = chunk
                .iter()
                .map(|seed| scope.spawn(move || compare_seed(workload, options, *seed)))
                .collect();
            outcomes.extend(threads.into_iter().filter_map(|thread| thread.join().ok()));
        }
        outcomes
    })
}

fn compare_seed(workload: &Workload, options: &Options, seed: u64) -> SeedOutcomes {
    let trace = workload.trace(seed);
    let conditions = options.conditions(workload, seed);
    let rates = service_rates(&conditions.costs, conditions.transfer_token);
    let mut strategies = run_baselines(&conditions, &rates, &trace);
    let mut system = system_strategy(rates, options.choice);
    strategies.push((system.name(), run(&conditions, &trace, &mut system)));
    let search = search::Search {
        conditions: &conditions,
        rates,
        trace: &trace,
    };
    let best = if options.without_search {
        search.best_mixed(workload)
    } else {
        search.best(workload)
    };
    strategies.push(("clairvoyant".into(), best));
    SeedOutcomes { strategies }
}

/// Creates the strategy that the system itself uses.
pub fn system_strategy(rates: ServiceRates, choice: ChoiceSettings) -> Predictive {
    Predictive::new(rates, choice, PlannerSettings::default())
}

fn run_baselines(
    conditions: &Conditions,
    rates: &ServiceRates,
    trace: &[TraceRequest],
) -> Vec<(String, Outcome)> {
    let splits = (1..conditions.engines).map(Static::split);
    let best_split = splits
        .map(|mut strategy| run(conditions, trace, &mut strategy))
        .max_by(|left, right| left.goodput().total_cmp(&right.goodput()));
    let mut outcomes = Vec::new();
    outcomes.extend(best_split.map(|outcome| ("best-static-split".to_owned(), outcome)));
    for balance in [Balance::RoundRobin, Balance::LeastLoad] {
        let mut strategy = Static::mixed(balance);
        outcomes.push((strategy.name(), run(conditions, trace, &mut strategy)));
    }
    let mut reactive = Reactive::new(rates.prefill_token, conditions.costs.max_sequences);
    outcomes.push((reactive.name(), run(conditions, trace, &mut reactive)));
    outcomes
}

/// Names of the strategies that never change roles.
pub const STATIC_STRATEGIES: [&str; 3] = ["best-static-split", "round-robin", "least-load"];

/// Returns the summary of the strategy with this name.
pub fn find<'a>(summaries: &'a [StrategySummary], name: &str) -> Option<&'a StrategySummary> {
    summaries.iter().find(|summary| summary.name == name)
}
