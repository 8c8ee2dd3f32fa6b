//! The platform and the engines that hollow nodes talk to, in this process or in another.

use std::io::{BufRead, BufReader, Read};
use std::net::{SocketAddr, TcpListener};
use std::path::Path;
use std::process::{Child, Command, Stdio};

use anyhow::{Context, Result};
use serde::{Deserialize, Serialize};

use crate::engines;

/// Any free port on loopback.
pub(crate) const ANY_PORT: &str = "127.0.0.1:0";

/// Where the stand-ins are reached.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) struct StandInAddresses {
    pub(crate) platform: SocketAddr,
    pub(crate) engines: Vec<SocketAddr>,
}

/// The stand-ins; those of another process end when this is dropped.
pub(crate) struct StandIns {
    pub(crate) addresses: StandInAddresses,
    process: Option<Child>,
}

impl StandIns {
    /// Starts them, in a process of `program` if one is named.
    pub(crate) fn start(program: Option<&Path>, workers: usize) -> Result<Self> {
        let Some(program) = program else {
            let addresses = serve(workers)?;
            return Ok(Self {
                addresses,
                process: None,
            });
        };
        let mut process = Command::new(program)
            .args(["scale", "--stand-ins", &workers.to_string()])
            .stdin(Stdio::piped())
            .stdout(Stdio::piped())
            .spawn()?;
        let output = process.stdout.take().context("no output")?;
        let mut line = String::new();
        BufReader::new(output).read_line(&mut line)?;
        let addresses = serde_json::from_str(&line).context("the stand-ins did not start")?;
        Ok(Self {
            addresses,
            process: Some(process),
        })
    }
}

impl Drop for StandIns {
    fn drop(&mut self) {
        if let Some(process) = &mut self.process {
            // It has ended by itself if this fails.
            let _ = process.kill();
            let _ = process.wait();
        }
    }
}

fn serve(workers: usize) -> Result<StandInAddresses> {
    let platform_listener = TcpListener::bind(ANY_PORT)?;
    let platform = platform_listener.local_addr()?;
    actix_rt::spawn(tansyhall_standin::platform::serve(platform_listener)?);
    let listeners = (0..workers).map(|_| TcpListener::bind(ANY_PORT));
    let listeners: std::io::Result<Vec<TcpListener>> = listeners.collect();
    let listeners = listeners?;
    let engines = match listeners.is_empty() {
        true => Vec::new(),
        false => engines::serve(listeners)?,
    };
    Ok(StandInAddresses { platform, engines })
}

/// Serves the stand-ins for another process: prints their addresses on one line, and ends when the
/// input does.
pub async fn serve_stand_ins(workers: usize) -> Result<()> {
    let addresses = serve(workers)?;
    println!("{}", serde_json::to_string(&addresses)?);
    let end_of_input = || std::io::stdin().read_to_end(&mut Vec::new());
    actix_rt::task::spawn_blocking(end_of_input).await??;
    Ok(())
}
