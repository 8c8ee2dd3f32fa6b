//! Ports for the processes of a test.

use std::net::{Ipv4Addr, SocketAddr, TcpListener, UdpSocket};
use std::ops::Range;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Instant;

use crate::{ADDRESS_RETRY_INTERVAL, CONDITION_TIMEOUT};

/// Range from which [`free_peer_address`] allocates. It lies below the ephemeral ports, so that no outgoing
/// connection takes a node's port while the node restarts.
const PEER_PORTS: Range<u16> = 16_000..32_000;
/// Number of ports in a block, including the first one, whose listener marks the block as claimed.
const BLOCK_PORTS: u16 = 250;
/// Maximum number of blocks that a process claims. After that, it uses its oldest block again.
const MAX_CLAIMED_BLOCKS: usize = 8;
/// The blocks of this process.
static BLOCKS: Mutex<ClaimedBlocks> = Mutex::new(ClaimedBlocks::NONE);
/// Held while a port is bound to find out whether it is free, and while a process starts. A process that is started
/// meanwhile inherits the socket and keeps the port bound until it executes its program.
static OPEN_PROBE: Mutex<()> = Mutex::new(());

/// Blocks of ports that no other test process allocates from. Each port is used much later than it is found free, so
/// that two processes with the same ports would take them from each other.
struct ClaimedBlocks {
    /// The listeners at the first ports of the blocks.
    claims: Vec<TcpListener>,
    /// The index of the block in use.
    current: usize,
    /// The number of ports of this block that were allocated.
    allocated: u16,
}

impl ClaimedBlocks {
    const NONE: Self = Self {
        claims: Vec::new(),
        current: 0,
        allocated: BLOCK_PORTS,
    };

    fn next_port(&mut self) -> u16 {
        if self.allocated + 1 >= BLOCK_PORTS {
            self.begin_block();
        }
        self.allocated += 1;
        let claim = self.claims[self.current].local_addr();
        claim.expect("a bound address").port() + self.allocated
    }

    /// Claims another block, or goes on with the oldest one.
    fn begin_block(&mut self) {
        let started = Instant::now();
        self.allocated = 0;
        while self.claims.len() < MAX_CLAIMED_BLOCKS {
            if let Some(claim) = claim_block() {
                self.claims.push(claim);
                self.current = self.claims.len() - 1;
                return;
            }
            if !self.claims.is_empty() {
                break;
            }
            assert!(
                started.elapsed() < CONDITION_TIMEOUT,
                "all blocks of ports are claimed by other test processes"
            );
            std::thread::sleep(ADDRESS_RETRY_INTERVAL);
        }
        self.current = (self.current + 1) % self.claims.len();
    }
}

/// Claims a block. The search begins at another block in each process, so that few processes try the same ones.
fn claim_block() -> Option<TcpListener> {
    let firsts: Vec<u16> = PEER_PORTS.step_by(usize::from(BLOCK_PORTS)).collect();
    let offset = std::process::id() as usize % firsts.len();
    let mut in_order = firsts.iter().cycle().skip(offset).take(firsts.len());
    in_order.find_map(|first| TcpListener::bind(loopback(*first)).ok())
}

fn loopback(port: u16) -> SocketAddr {
    SocketAddr::from((Ipv4Addr::LOCALHOST, port))
}

/// Returns a loopback address whose port is free for both UDP and TCP. Other test processes do not use it.
pub fn free_peer_address() -> SocketAddr {
    loop {
        let address = loopback(lock(&BLOCKS).next_port());
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
    let _guard = lock(&OPEN_PROBE);
    run()
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
