//! Gateways that run as separate processes.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};

use crate::{free_peer_address, program_path, Process};

/// The addresses at which a gateway listens.
#[derive(Debug, Clone, Copy)]
pub struct GatewayAddresses {
    /// Address for callers.
    pub callers: SocketAddr,
    /// Address for health checks.
    pub ready: SocketAddr,
    /// Address for other gateways.
    pub peers: SocketAddr,
    /// Address for load reports.
    pub load: SocketAddr,
    /// Address for metrics.
    pub metrics: SocketAddr,
}

impl GatewayAddresses {
    /// Returns free loopback addresses.
    pub fn free() -> Self {
        Self {
            callers: free_peer_address(),
            ready: free_peer_address(),
            peers: free_peer_address(),
            load: free_peer_address(),
            metrics: free_peer_address(),
        }
    }
}

impl GatewayAddresses {
    /// Returns whether another process listens at one of the addresses. It can bind a port after the
    /// port was found free and before the gateway binds it.
    pub fn is_any_taken(&self) -> bool {
        let all = [self.callers, self.ready, self.peers, self.metrics];
        let mut all = all.into_iter();
        all.any(|address| {
            crate::ports::without_open_probes(|| std::net::TcpListener::bind(address).is_err())
        })
    }
}

/// A gateway process.
pub struct GatewayProcess {
    /// The process.
    pub process: Process,
    /// The addresses at which it listens.
    pub addresses: GatewayAddresses,
    /// The path of its settings file.
    pub settings: PathBuf,
}

/// Starts a gateway. `settings` must contain `addresses`.
pub fn start_gateway(
    directory: &Path,
    name: &str,
    settings: &str,
    addresses: GatewayAddresses,
) -> GatewayProcess {
    start_gateway_program(
        program_path("tansyhall"),
        directory,
        name,
        settings,
        addresses,
    )
}

/// Starts a gateway from the program at this path, such as one of another build. `settings` must contain
/// `addresses`.
pub fn start_gateway_program(
    program: PathBuf,
    directory: &Path,
    name: &str,
    settings: &str,
    addresses: GatewayAddresses,
) -> GatewayProcess {
    let file = directory.join(format!("{name}.toml"));
    std::fs::write(&file, settings).expect("the settings file is written");
    let path = file.to_str().expect("a UTF-8 path");
    let process = Process::spawn(program, &["gateway", "--settings", path]);
    GatewayProcess {
        process,
        addresses,
        settings: file,
    }
}
