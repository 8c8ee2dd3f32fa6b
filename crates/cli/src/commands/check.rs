//! `tansyhall check`: checks settings and resource files before anything runs.

use std::process::ExitCode;

use anyhow::Result;
use ariadne::{Config, Label, Report, ReportKind, Source};
use pico_args::Arguments;
use tansyhall_config::{Configuration, NodeSettings, Problem, ResourceFile, ResourceKind};

use crate::exit::{Usage, USAGE};

/// Runs the command. All resource files together must form one valid configuration.
pub fn run(arguments: Arguments) -> Result<ExitCode> {
    let files = arguments.finish();
    if files.is_empty() {
        anyhow::bail!(Usage("which files? see tansyhall --help".into()));
    }
    let mut configuration = Configuration::default();
    let mut faults = 0_usize;
    for file in &files {
        let name = file.to_string_lossy();
        let text = std::fs::read_to_string(file).map_err(|e| Usage(format!("{name}: {e}")))?;
        let checked = if is_settings(&text) {
            NodeSettings::parse(&name, &text)
                .map(|_| ())
                .map_err(|error| error.to_string())
        } else {
            ResourceFile::parse(&text)
                .map(|content| {
                    content
                        .into_resources()
                        .into_iter()
                        .for_each(|r| configuration.put(r))
                })
                .map_err(|error| format!("{name}: {error}"))
        };
        if let Err(message) = checked {
            eprintln!("{message}");
            faults += 1;
        }
    }
    if let Err(error) = configuration.validate() {
        faults += error.0.len();
        error
            .0
            .iter()
            .for_each(|problem| show(&configuration, problem));
    }
    if faults > 0 {
        eprintln!("{faults} faults");
        return Ok(ExitCode::from(USAGE));
    }
    println!("{} files checked", files.len());
    Ok(ExitCode::SUCCESS)
}

fn is_settings(text: &str) -> bool {
    toml::from_str::<toml::Table>(text).is_ok_and(|table| table.contains_key("callers"))
}

fn show(configuration: &Configuration, problem: &Problem) {
    let source = (problem.resource.kind == ResourceKind::Policy)
        .then(|| {
            configuration
                .policies
                .get(&problem.resource.name.as_str().into())
        })
        .flatten();
    let (Some(span), Some(policy)) = (&problem.span, source) else {
        eprintln!("{problem}");
        return;
    };
    let name = problem.resource.to_string();
    let report = Report::build(ReportKind::Error, (name.as_str(), span.clone()))
        .with_config(Config::default().with_color(false))
        .with_message(&problem.message)
        .with_label(Label::new((name.as_str(), span.clone())).with_message("here"))
        .finish();
    let _ = report.eprint((name.as_str(), Source::from(&policy.source)));
}
