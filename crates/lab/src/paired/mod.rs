//! `tansyhall-lab paired`: compares two versions on the same days with the same seeds, from the bench's
//! journal.

pub mod comparison;
pub mod journal;
mod plot;

use std::path::PathBuf;
use std::process::ExitCode;

use anyhow::{ensure, Result};
use comfy_table::{presets, Table};
use pico_args::Arguments;

use comparison::Summary;

const HELP: &str = "\
Compares two versions by the runs in the bench's journal, paired by site, day and seed.

USAGE:
  tansyhall-lab paired --before TEXT --after TEXT [--journal DIR] [--plot FILE]

OPTIONS:
  --before TEXT   runs whose reason contains TEXT belong to the version before
  --after TEXT    runs whose reason contains TEXT belong to the version after
  --journal DIR   directory of the journal (default: journal)
  --plot FILE     write the pairs to FILE as an SVG plot
";

struct Options {
    before: String,
    after: String,
    journal: PathBuf,
    plot: Option<PathBuf>,
}

/// Runs the command.
pub fn command(mut arguments: Arguments) -> Result<ExitCode> {
    if arguments.contains("--help") {
        print!("{HELP}");
        return Ok(ExitCode::SUCCESS);
    }
    let journal: Option<PathBuf> = arguments.opt_value_from_str("--journal")?;
    let options = Options {
        before: arguments.value_from_str("--before")?,
        after: arguments.value_from_str("--after")?,
        journal: journal.unwrap_or_else(|| "journal".into()),
        plot: arguments.opt_value_from_str("--plot")?,
    };
    let rest = arguments.finish();
    ensure!(rest.is_empty(), "unknown arguments: {rest:?}");
    run(&options)
}

fn run(options: &Options) -> Result<ExitCode> {
    let runs = journal::read(&options.journal)?;
    let pairs = comparison::pair(&runs, &options.before, &options.after);
    ensure!(
        !pairs.is_empty(),
        "no day was run with the same seed for both reasons"
    );
    println!("{}", table(&comparison::summarise(&pairs)));
    if let Some(file) = &options.plot {
        plot::write(file, &pairs)?;
    }
    let any_failed = pairs.iter().any(|pair| !pair.passed);
    Ok(ExitCode::from(u8::from(any_failed)))
}

fn table(summaries: &[Summary]) -> Table {
    let mut table = Table::new();
    table.load_style(presets::ASCII_MARKDOWN);
    table.set_header([
        "site",
        "day",
        "pairs",
        "before",
        "after",
        "difference",
        "spread",
        "least",
        "broken",
    ]);
    for summary in summaries {
        table.add_row([
            summary.site.clone(),
            summary.day.clone(),
            summary.pairs.to_string(),
            format!("{:.3}", summary.before),
            format!("{:.3}", summary.after),
            format!("{:+.3}", summary.difference),
            format!("{:.3}", summary.standard_deviation),
            format!("{:.3}", summary.min_after),
            summary.failed_pairs.to_string(),
        ]);
    }
    table
}
