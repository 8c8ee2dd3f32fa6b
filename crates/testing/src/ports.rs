//! Ports for the processes of a test.

use std::net::{SocketAddr, TcpListener, UdpSocket};
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Mutex, PoisonError};

/// First port of the range from which [`free_peer_address`] allocates. The range lies below the ephemeral
/// ports, so that no outgoing connection takes a node's port while the node restarts.
const FIRST_PEER_PORT: u32 = 16_000;
/// Number of ports in the range from which [`free_peer_address`] allocates.
const PEER_PORT_COUNT: u32 = 16_000;
/// Distance between the first ports of two test processes with consecutive process ids. It is larger than the
/// number of ports that the fault soak allocates in a minute, because another process may bind a port after
/// it was found free and before it is used.
const PROCESS_PORT_STRIDE: u32 = 1_009;
/// Number of ports that this process has tried.
static ALLOCATED_PEER_PORTS: AtomicU32 = AtomicU32::new(0);
/// Held while a port is bound to find out whether it is free, and while a process starts. A process that is started
/// meanwhile inherits the socket and keeps the port bound until it executes its program.
static OPEN_PROBE: Mutex<()> = Mutex::new(());

/// Returns a loopback address whose port is free for both UDP and TCP.
pub fn free_peer_address() -> SocketAddr {
    let first = std::process::id().wrapping_mul(PROCESS_PORT_STRIDE);
    loop {
        let next = ALLOCATED_PEER_PORTS.fetch_add(1, Ordering::Relaxed);
        let port = FIRST_PEER_PORT + first.wrapping_add(next) % PEER_PORT_COUNT;
        let port = u16::try_from(port).expect("ports are below 32,000");
        let address = SocketAddr::from(([127, 0, 0, 1], port));
        if is_free(address) {
            return address;
        }
    }
}

/// Returns whether a port is free for both UDP and TCP.
fn is_free(address: SocketAddr) -> bool {
    without_open_probes(|| TcpListener::bind(address).is_ok() && UdpSocket::bind(address).is_ok())
}

/// Runs a function while no other thread binds a port to find out whether it is free.
pub(crate) fn without_open_probes<T>(run: impl FnOnce() -> T) -> T {
    let _guard = OPEN_PROBE.lock().unwrap_or_else(PoisonError::into_inner);
    run()
}
