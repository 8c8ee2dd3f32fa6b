//! `tansyhall gateway`: forwards callers' requests to workers on the users' platform until SIGTERM
//! or SIGINT, then finishes the requests in progress and stops.

use std::path::PathBuf;
use std::process::ExitCode;

use anyhow::Result;
use pico_args::Arguments;
use tansyhall_gateway::{Build, GatewaySettings};

use crate::exit::{self, Usage};

/// Log specification for libraries when `RUST_LOG` is not set.
const DEFAULT_LOG_SPEC: &str = "warn, actix_server=error, actix_http=off";

/// Version and commit of this program, which the first line of its log reports.
const BUILD: Build = Build {
    version: env!("CARGO_PKG_VERSION"),
    commit: env!("TANSYHALL_COMMIT"),
};

/// Runs the command.
pub fn run(mut arguments: Arguments) -> Result<ExitCode> {
    let file: PathBuf = arguments.value_from_str("--settings")?;
    exit::finish(arguments)?;
    let name = file.display().to_string();
    let text = std::fs::read_to_string(&file).map_err(|e| Usage(format!("{name}: {e}")))?;
    let settings = GatewaySettings::parse(&name, &text).map_err(|e| Usage(e.to_string()))?;
    let _logger = flexi_logger::Logger::try_with_env_or_str(DEFAULT_LOG_SPEC)?
        .format(flexi_logger::detailed_format)
        .log_to_stderr()
        .start()?;
    actix_rt::System::new().block_on(async move {
        let adapter = {
            let duties = settings.duties.as_ref().map(|duties| duties.address);
            tansyhall_platform::adapter(settings.store.address, duties)
        };
        tansyhall_gateway::run(BUILD, &file, settings, adapter).await?;
        Ok(ExitCode::SUCCESS)
    })
}
