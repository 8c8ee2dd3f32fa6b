//! `tansyhall node`: runs a node until SIGTERM or SIGINT, then finishes the requests in progress and stops.

use std::process::ExitCode;

use anyhow::{Context, Result};
use pico_args::Arguments;
use tansyhall_config::NodeSettings;
use tokio::signal::unix::{signal, SignalKind};

use crate::exit::{self, Usage};

/// Log specification when `RUST_LOG` is not set.
const DEFAULT_LOG_SPEC: &str = "info, actix_server=warn";

/// Runs the command.
pub fn run(mut arguments: Arguments) -> Result<ExitCode> {
    let file: String = arguments.value_from_str("--settings")?;
    exit::finish(arguments)?;
    let text = std::fs::read_to_string(&file).map_err(|e| Usage(format!("{file}: {e}")))?;
    let settings = NodeSettings::parse(&file, &text).map_err(|e| Usage(e.to_string()))?;
    let _logger = flexi_logger::Logger::try_with_env_or_str(DEFAULT_LOG_SPEC)?
        .format(flexi_logger::detailed_format)
        .log_to_stderr()
        .start()?;
    actix_rt::System::new().block_on(async move {
        let running = tansyhall_node::run(settings)?;
        println!("callers {} admin {}", running.callers, running.admin);
        let mut terminate =
            signal(SignalKind::terminate()).context("cannot install a signal handler")?;
        let mut interrupt =
            signal(SignalKind::interrupt()).context("cannot install a signal handler")?;
        tokio::select! {
            _ = terminate.recv() => {}
            _ = interrupt.recv() => {}
        }
        running.stop().await;
        Ok(ExitCode::SUCCESS)
    })
}
