//! Exit codes.

use std::process::ExitCode;

/// Exit code of wrong usage and of faults in files.
pub const USAGE: u8 = 2;

/// Wrong usage, or a fault in a file.
#[derive(Debug)]
pub struct Usage(pub String);

impl std::fmt::Display for Usage {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(&self.0)
    }
}

impl std::error::Error for Usage {}

/// The exit code of an error.
pub fn code_of(error: &anyhow::Error) -> ExitCode {
    let usage = error.is::<Usage>() || error.is::<pico_args::Error>();
    if usage {
        ExitCode::from(USAGE)
    } else {
        ExitCode::FAILURE
    }
}

/// Refuses arguments that no option took.
pub fn finish(arguments: pico_args::Arguments) -> anyhow::Result<()> {
    let rest = arguments.finish();
    if rest.is_empty() {
        return Ok(());
    }
    anyhow::bail!(Usage(format!(
        "unknown arguments {rest:?}; see tansyhall --help"
    )))
}
