//! Exit codes.

use std::process::ExitCode;

/// Exit code of wrong usage and of errors in files.
pub const USAGE: u8 = 2;

/// An error of wrong usage, or an error in a file.
#[derive(Debug)]
pub struct Usage(pub String);

impl std::fmt::Display for Usage {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(&self.0)
    }
}

impl std::error::Error for Usage {}

/// Returns the exit code for an error.
pub fn exit_code(error: &anyhow::Error) -> ExitCode {
    let is_usage = error.is::<Usage>() || error.is::<pico_args::Error>();
    if is_usage {
        ExitCode::from(USAGE)
    } else {
        ExitCode::FAILURE
    }
}

/// Returns an error if arguments remain that no option or command has consumed.
pub fn finish(arguments: pico_args::Arguments) -> anyhow::Result<()> {
    let unknown = arguments.finish();
    if unknown.is_empty() {
        return Ok(());
    }
    anyhow::bail!(Usage(format!(
        "unknown arguments {unknown:?}; see tansyhall --help"
    )))
}
