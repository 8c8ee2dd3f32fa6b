//! `tansyhall-lab scale`: hollow nodes over loopback sockets and what they cost, at one size or at
//! several.

use std::path::PathBuf;
use std::process::{Command, ExitCode};
use std::time::Duration;

use anyhow::{bail, ensure, Context, Result};
use pico_args::Arguments;
use tansyhall_scale::{Fault, ScaleOptions, ScaleReport};

use crate::scale_report;

const HELP: &str = "\
Runs hollow nodes over loopback sockets and reports what they cost. The platform and the engines
are stand-ins in a process of their own.

USAGE:
  tansyhall-lab scale [OPTIONS]

OPTIONS:
  --nodes N            hollow nodes (default: 320)
  --workers M          hollow engines (default: 630)
  --zones Z            zones (default: 5)
  --tenants N          tenants in the configuration (default: 300)
  --authority-nodes N  nodes of each zone that run the authority (default: all)
  --fault NAME         zone or restart-storm, while the costs are measured (default: none)
  --sizes A,B,...      one run for each number of nodes, with workers in proportion to --nodes
  --report DIR         with --sizes: index.html and plots with linear fits
  --warm-up N          seconds before the measurement (default: 60)
  --seconds N          seconds of the measurement (default: 30)
  --json               one JSON object on the last line
  --help               this text
";

/// What was asked for.
struct Request {
    options: ScaleOptions,
    sizes: Vec<usize>,
    report: Option<PathBuf>,
    json: bool,
}

/// Runs the command.
pub fn run(mut arguments: Arguments) -> Result<ExitCode> {
    if arguments.contains("--help") {
        print!("{HELP}");
        return Ok(ExitCode::SUCCESS);
    }
    if let Some(workers) = arguments.opt_value_from_str("--stand-ins")? {
        let serve = tansyhall_scale::serve_stand_ins(workers);
        actix_rt::System::new().block_on(serve)?;
        return Ok(ExitCode::SUCCESS);
    }
    let request = parse(arguments)?;
    if request.sizes.is_empty() {
        let run = tansyhall_scale::run(request.options);
        let report = actix_rt::System::new().block_on(run)?;
        print_reports(&[report], request.json)?;
        return Ok(ExitCode::SUCCESS);
    }
    let mut reports = Vec::new();
    for nodes in &request.sizes {
        reports.push(run_in_own_process(&request.options, *nodes)?);
        eprintln!("{nodes} nodes: done");
    }
    if let Some(directory) = &request.report {
        scale_report::write(directory, &reports)?;
    }
    print_reports(&reports, request.json)?;
    Ok(ExitCode::SUCCESS)
}

fn parse(mut arguments: Arguments) -> Result<Request> {
    let defaults = ScaleOptions::default();
    let fault: Option<String> = arguments.opt_value_from_str("--fault")?;
    let sizes: Option<String> = arguments.opt_value_from_str("--sizes")?;
    let seconds = |arguments: &mut Arguments, name, default: Duration| -> Result<Duration> {
        let value = arguments.opt_value_from_str(name)?;
        Ok(value.map_or(default, Duration::from_secs))
    };
    let warm_up = seconds(&mut arguments, "--warm-up", defaults.warm_up)?;
    let duration = seconds(&mut arguments, "--seconds", defaults.duration)?;
    let mut number = |name, default: usize| -> Result<usize> {
        Ok(arguments.opt_value_from_str(name)?.unwrap_or(default))
    };
    let options = ScaleOptions {
        nodes: number("--nodes", defaults.nodes)?.max(1),
        workers: number("--workers", defaults.workers)?,
        zones: number("--zones", defaults.zones)?.max(1),
        tenants: number("--tenants", defaults.tenants)?,
        authority_nodes_per_zone: arguments.opt_value_from_str("--authority-nodes")?,
        fault: fault.as_deref().map_or(Ok(Fault::None), parse_fault)?,
        warm_up,
        duration,
        stand_ins: Some(std::env::current_exe()?),
        ..defaults
    };
    let request = Request {
        options,
        sizes: sizes.as_deref().map_or(Ok(Vec::new()), parse_sizes)?,
        report: arguments.opt_value_from_str("--report")?,
        json: arguments.contains("--json"),
    };
    let rest = arguments.finish();
    if !rest.is_empty() {
        bail!("unknown arguments {rest:?}; see tansyhall-lab scale --help");
    }
    Ok(request)
}

fn parse_fault(name: &str) -> Result<Fault> {
    Fault::parse(name).with_context(|| format!("no fault {name}; see tansyhall-lab scale --help"))
}

fn parse_sizes(text: &str) -> Result<Vec<usize>> {
    let sizes = text.split(',').map(|size| size.trim().parse::<usize>());
    let sizes: Vec<usize> = sizes.collect::<std::result::Result<_, _>>()?;
    ensure!(!sizes.contains(&0), "a size must be above zero");
    Ok(sizes)
}

/// Each size has a process of its own, so that no size sees the memory of another.
fn run_in_own_process(options: &ScaleOptions, nodes: usize) -> Result<ScaleReport> {
    let workers = options.workers * nodes / options.nodes;
    let mut command = Command::new(std::env::current_exe()?);
    command.args(["scale", "--json", "--fault", options.fault.name()]);
    if let Some(most) = options.authority_nodes_per_zone {
        command.args(["--authority-nodes", &most.to_string()]);
    }
    let numbers = [
        ("--nodes", nodes as u64),
        ("--workers", workers as u64),
        ("--zones", options.zones as u64),
        ("--tenants", options.tenants as u64),
        ("--warm-up", options.warm_up.as_secs()),
        ("--seconds", options.duration.as_secs()),
    ];
    for (name, value) in numbers {
        command.args([name, &value.to_string()]);
    }
    let output = command.stderr(std::process::Stdio::inherit()).output()?;
    ensure!(output.status.success(), "the run of {nodes} nodes failed");
    let text = String::from_utf8(output.stdout)?;
    let last = text.lines().last().context("the run printed nothing")?;
    Ok(serde_json::from_str(last)?)
}

fn print_reports(reports: &[ScaleReport], json: bool) -> Result<()> {
    if !json {
        println!("{}", serde_json::to_string_pretty(reports)?);
        return Ok(());
    }
    match reports {
        [report] => println!("{}", serde_json::to_string(report)?),
        reports => println!("{}", scale_report::summary(reports)?),
    }
    Ok(())
}
