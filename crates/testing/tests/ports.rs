//! Ports that are found free remain free until the process that is to use them starts.

use std::net::{TcpListener, UdpSocket};
use std::path::PathBuf;
use std::sync::atomic::{AtomicBool, Ordering};

use tansyhall_testing::{free_peer_address, start_gateway_program, GatewayAddresses};

const PROBES: usize = 2_000;
const STARTING_THREADS: usize = 4;

/// The failure: a node could not listen at its address, although the port had just been found free. A process that
/// another test started at the same time had inherited the socket with which the port was tried.
#[test]
fn a_port_that_was_found_free_can_be_bound_while_other_threads_start_processes() {
    let directory = tempfile::tempdir().expect("a temporary directory is created");
    let addresses = GatewayAddresses::free();
    let is_done = AtomicBool::new(false);
    let mut taken = Vec::new();
    std::thread::scope(|scope| {
        for number in 0..STARTING_THREADS {
            let (directory, is_done) = (directory.path(), &is_done);
            scope.spawn(move || {
                let name = format!("program-{number}");
                while !is_done.load(Ordering::Relaxed) {
                    let program = PathBuf::from("true");
                    start_gateway_program(program, directory, &name, "", addresses);
                }
            });
        }
        for _ in 0..PROBES {
            let address = free_peer_address();
            if TcpListener::bind(address).is_err() || UdpSocket::bind(address).is_err() {
                taken.push(address);
            }
        }
        is_done.store(true, Ordering::Relaxed);
    });
    assert!(taken.is_empty(), "{} ports were taken", taken.len());
}
