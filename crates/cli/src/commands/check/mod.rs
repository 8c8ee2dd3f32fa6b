//! `tansyhall check`: checks settings, resource files and policies before anything runs.

pub mod files;

use std::process::ExitCode;

use anyhow::Result;
use pico_args::Arguments;
use tansyhall_config::{Configuration, ConfigurationError, NodeSettings, Problem, Programs};
use tansyhall_gateway::GatewaySettings;
use tansyhall_policy::Diagnostic;

use crate::exit::{Usage, USAGE};
use files::{FileKind, OperatorFile};

const HELP: &str = "\
Check files before anything runs: settings of nodes and gateways (TOML), resources (TOML) and policies
(*.policy, each named by its file). All resources together must form one valid configuration.

USAGE:
  tansyhall check FILE...

Each fault is shown with its file, line, column, what is allowed and, if there is a likely one, a
correction. For each policy the most that one request can cost is printed.

EXIT CODES:
  0  no fault
  2  a fault, or a file that cannot be read
";

/// Runs the command.
pub fn run(mut arguments: Arguments) -> Result<ExitCode> {
    if arguments.contains(["-h", "--help"]) {
        print!("{HELP}");
        return Ok(ExitCode::SUCCESS);
    }
    let paths = arguments.finish();
    if paths.is_empty() {
        anyhow::bail!(Usage("which files? see tansyhall check --help".into()));
    }
    let files: Result<Vec<_>> = paths.iter().map(|path| OperatorFile::read(path)).collect();
    let files = files?;
    let faults = check(&files);
    for fault in &faults {
        eprintln!("{fault}");
    }
    if faults.is_empty() {
        println!("{} files checked, no fault", files.len());
        return Ok(ExitCode::SUCCESS);
    }
    eprintln!("{} faults in {} files", faults.len(), files.len());
    Ok(ExitCode::from(USAGE))
}

/// Checks every file by itself, and the resources of all together.
fn check(files: &[OperatorFile]) -> Vec<String> {
    let mut faults = Vec::new();
    let mut configuration = Configuration::default();
    for file in files {
        if file.kind == FileKind::Settings {
            let settings = NodeSettings::parse(&file.name, &file.text);
            faults.extend(settings.err().map(|error| error.to_string()));
        }
        if file.kind == FileKind::GatewaySettings {
            let settings = GatewaySettings::parse(&file.name, &file.text);
            faults.extend(settings.err().map(|error| error.to_string()));
        }
        match file.resources() {
            Ok(resources) => resources.into_iter().for_each(|resource| {
                let key = resource.key();
                if configuration.get(&key).is_some() {
                    faults.push(format!("{}: {key} stands in the files twice", file.name));
                }
                configuration.put(resource);
            }),
            Err(fault) => faults.push(fault.render(&file.name, &file.text)),
        }
    }
    if !faults.is_empty() {
        return faults;
    }
    match configuration.compile() {
        Ok(programs) => print_costs(&programs),
        Err(ConfigurationError(problems)) => {
            faults.extend(
                problems
                    .iter()
                    .map(|problem| show(files, &configuration, problem)),
            );
        }
    }
    faults
}

fn print_costs(programs: &Programs) {
    for (name, program) in programs {
        let cost = program.cost();
        println!(
            "policy/{name}: {} classes, at most {} comparisons a request",
            cost.classes, cost.comparisons
        );
    }
}

/// A problem with the lines of the file that it concerns.
fn show(files: &[OperatorFile], configuration: &Configuration, problem: &Problem) -> String {
    let place = files.iter().find_map(|file| {
        let span = file.locate(&problem.resource, problem.field)?;
        Some((file, span))
    });
    let Some((file, field)) = place else {
        return problem.to_string();
    };
    let span = match &problem.span {
        None => field,
        Some(span) => {
            let policy = configuration
                .policies
                .get(&problem.resource.name.as_str().into());
            let source = policy.map_or("", |policy| policy.source.as_str());
            let start = file.text[field.clone()].find(source);
            start.map_or(field.clone(), |start| {
                let start = field.start + start;
                start + span.start..start + span.end
            })
        }
    };
    let message = format!(
        "{}: {} = {:?}: {}",
        problem.resource, problem.field, problem.value, problem.message
    );
    let diagnostic = Diagnostic {
        hint: problem.hint.clone(),
        ..Diagnostic::new(span, message, problem.allowed.as_str())
    };
    diagnostic.render(&file.name, &file.text)
}
