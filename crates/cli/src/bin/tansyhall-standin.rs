//! `tansyhall-standin platform|engine|app`: runs one stand-in as a separate process.

#![forbid(unsafe_code)]

use std::net::{SocketAddr, TcpListener};
use std::process::ExitCode;
use std::sync::Arc;
use std::time::Duration;

use anyhow::{bail, Context, Result};
use pico_args::Arguments;
use tansyhall_core::{ModelName, Role};
use tansyhall_engine_model::CostModel;
use tansyhall_standin::{app, engine, platform};

const HELP: &str = "\
Stand-ins for the systems around tansyhall, for tests and experiments.

USAGE:
  tansyhall-standin platform --listen IP:PORT
  tansyhall-standin engine   --listen IP:PORT --name NAME [--model NAME] [--role ROLE]
                             [--role-change-ms N] [--model-bytes N]
                             [--weights-bytes-per-second N]
  tansyhall-standin app      --listen IP:PORT --name NAME

OPTIONS:
  --listen IP:PORT     address to listen on; with port 0 a free port is chosen and printed as
                       `listening IP:PORT`
  --name NAME          the back end's name
  --model NAME         the engine's first model (default: base)
  --role ROLE          mixed, prefill or decode (default: mixed)
  --role-change-ms N   duration of a role change in milliseconds (default: 3000)
  --model-bytes N      size of a model in the store of weights (default: 2147483648)
  --weights-bytes-per-second N
                       rate at which weights are fetched (default: 1073741824)
  --help               print this text
";

fn main() -> ExitCode {
    match run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("tansyhall-standin: {error:#}");
            ExitCode::from(2)
        }
    }
}

fn run() -> Result<()> {
    let mut arguments = Arguments::from_env();
    if arguments.contains("--help") {
        print!("{HELP}");
        return Ok(());
    }
    let kind = arguments
        .subcommand()?
        .context("no stand-in given; see --help")?;
    let listen: SocketAddr = arguments.value_from_str("--listen")?;
    let listener =
        TcpListener::bind(listen).with_context(|| format!("cannot listen on {listen}"))?;
    println!("listening {}", listener.local_addr()?);
    actix_rt::System::new().block_on(async move {
        let server = match kind.as_str() {
            "platform" => platform::serve(listener)?,
            "engine" => engine::serve(listener, engine_options(&mut arguments)?)?,
            "app" => {
                let name = arguments.value_from_str("--name")?;
                app::serve(listener, app::AppOptions { name })?
            }
            other => bail!("unknown stand-in {other}; see --help"),
        };
        let unknown = arguments.finish();
        if !unknown.is_empty() {
            bail!("unknown arguments {unknown:?}; see --help");
        }
        server.await.context("the server failed")
    })
}

fn engine_options(arguments: &mut Arguments) -> Result<engine::EngineOptions> {
    let name: String = arguments.value_from_str("--name")?;
    let model: Option<String> = arguments.opt_value_from_str("--model")?;
    let role: Option<String> = arguments.opt_value_from_str("--role")?;
    let role = match role {
        None => Role::Mixed,
        Some(role_name) => Role::ALL
            .into_iter()
            .find(|role| role.name() == role_name)
            .with_context(|| format!("unknown role {role_name}"))?,
    };
    let role_change_ms: Option<u64> = arguments.opt_value_from_str("--role-change-ms")?;
    let mut weights = engine::Weights::default();
    if let Some(bytes_per_second) = arguments.opt_value_from_str("--weights-bytes-per-second")? {
        weights.store = Arc::new(engine::WeightsStore::new(bytes_per_second));
    }
    if let Some(bytes) = arguments.opt_value_from_str("--model-bytes")? {
        weights.model_bytes = bytes;
    }
    Ok(engine::EngineOptions {
        name: name.as_str().into(),
        role,
        model: ModelName::new(model.unwrap_or_else(|| "base".into())),
        role_change: Duration::from_millis(role_change_ms.unwrap_or(3_000)),
        costs: CostModel::default(),
        weights,
    })
}
