//! `tansyhall check`: checks settings, resource files and policies without a running fleet.

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
Check files without a running fleet: settings of nodes and gateways (TOML), resources (TOML) and
policies (*.policy, each named by its file). All resources together must form one valid configuration.

USAGE:
  tansyhall check FILE...

Each error is shown with its file, line, column, the allowed values and, if there is a likely one, a
correction. For each policy the maximum cost of one request is printed.

EXIT CODES:
  0  no error
  2  an error, or a file that cannot be read
";

/// Runs the command.
pub fn run(mut arguments: Arguments) -> Result<ExitCode> {
    if arguments.contains(["-h", "--help"]) {
        print!("{HELP}");
        return Ok(ExitCode::SUCCESS);
    }
    let paths = arguments.finish();
    if paths.is_empty() {
        anyhow::bail!(Usage("no files given; see tansyhall check --help".into()));
    }
    let files: Result<Vec<_>> = paths.iter().map(|path| OperatorFile::read(path)).collect();
    let files = files?;
    let errors = check(&files);
    for error in &errors {
        eprintln!("{error}");
    }
    if errors.is_empty() {
        println!("{} files checked, no errors", files.len());
        return Ok(ExitCode::SUCCESS);
    }
    eprintln!("{} errors in {} files", errors.len(), files.len());
    Ok(ExitCode::from(USAGE))
}

/// Checks each file separately, and then the resources of all files together. Returns the errors found.
fn check(files: &[OperatorFile]) -> Vec<String> {
    let mut errors = Vec::new();
    let mut configuration = Configuration::default();
    for file in files {
        if file.kind == FileKind::Settings {
            let settings = NodeSettings::parse(&file.name, &file.text);
            errors.extend(settings.err().map(|error| error.to_string()));
        }
        if file.kind == FileKind::GatewaySettings {
            let settings = GatewaySettings::parse(&file.name, &file.text);
            errors.extend(settings.err().map(|error| error.to_string()));
        }
        match file.resources() {
            Ok(resources) => resources.into_iter().for_each(|resource| {
                let key = resource.key();
                if configuration.get(&key).is_some() {
                    errors.push(format!("{}: {key} is defined more than once", file.name));
                }
                configuration.put(resource);
            }),
            Err(diagnostic) => errors.push(diagnostic.render(&file.name, &file.text)),
        }
    }
    if !errors.is_empty() {
        return errors;
    }
    match configuration.compile() {
        Ok(programs) => print_costs(&programs),
        Err(ConfigurationError(problems)) => {
            errors.extend(
                problems
                    .iter()
                    .map(|problem| render_problem(files, &configuration, problem)),
            );
        }
    }
    errors
}

fn print_costs(programs: &Programs) {
    for (name, program) in programs {
        let cost = program.cost();
        println!(
            "policy/{name}: {} classes, at most {} comparisons per request",
            cost.classes, cost.comparisons
        );
    }
}

/// Renders a problem with the lines of the file that it concerns.
fn render_problem(
    files: &[OperatorFile],
    configuration: &Configuration,
    problem: &Problem,
) -> String {
    let location = files.iter().find_map(|file| {
        let span = file.locate(&problem.resource, problem.field)?;
        Some((file, span))
    });
    let Some((file, field)) = location else {
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
