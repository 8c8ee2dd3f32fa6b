//! Test processes that run at the same time allocate ports from different blocks.

use std::collections::HashSet;
use std::io::{BufRead, BufReader, Read};
use std::net::SocketAddr;
use std::process::{Child, Command, Stdio};

use tansyhall_testing::free_peer_address;

/// Set in test processes that only print addresses.
const PRINTS_ADDRESSES: &str = "TANSYHALL_TEST_PRINTS_ADDRESSES";
const PRINTING_PROCESSES: usize = 6;
/// Number of addresses that each of these processes prints. The process tests of gateways allocate more.
const PRINTED_ADDRESSES: usize = 1_200;
const ADDRESS_PREFIX: &str = "address ";

/// The failure: gateways could not listen at their addresses while the same tests ran in another process.
#[test]
fn test_processes_that_run_at_the_same_time_allocate_different_ports() {
    let mut children: Vec<Child> = (0..PRINTING_PROCESSES).map(|_| start_printing()).collect();
    let mut outputs: Vec<_> = children
        .iter_mut()
        .map(|child| BufReader::new(child.stdout.take().expect("stdout is piped")).lines())
        .collect();
    let mut allocated = HashSet::new();
    let mut shared = Vec::new();
    for output in &mut outputs {
        let lines = output.by_ref().map_while(Result::ok);
        let addresses = lines.filter_map(|line| parse_address(&line));
        let own: HashSet<SocketAddr> = addresses.take(PRINTED_ADDRESSES).collect();
        shared.extend(own.intersection(&allocated).copied());
        allocated.extend(own);
    }
    for child in &mut children {
        drop(child.stdin.take());
        child.wait().expect("the process ends");
    }
    assert!(allocated.len() > PRINTED_ADDRESSES, "{}", allocated.len());
    assert!(shared.is_empty(), "{} addresses are shared", shared.len());
}

fn parse_address(line: &str) -> Option<SocketAddr> {
    line.strip_prefix(ADDRESS_PREFIX)?.parse().ok()
}

fn start_printing() -> Child {
    let program = std::env::current_exe().expect("the path of the running program");
    let arguments = ["--exact", "prints_free_addresses", "--nocapture"];
    let mut command = Command::new(program);
    command.args(arguments).env(PRINTS_ADDRESSES, "true");
    command.stdin(Stdio::piped()).stdout(Stdio::piped());
    command.spawn().expect("the test program runs")
}

/// Prints addresses and runs until its input ends, in processes of the test above. Does nothing otherwise.
#[test]
fn prints_free_addresses() {
    if std::env::var_os(PRINTS_ADDRESSES).is_none() {
        return;
    }
    for _ in 0..PRINTED_ADDRESSES {
        println!("\n{ADDRESS_PREFIX}{}", free_peer_address());
    }
    let _ = std::io::stdin().read_to_end(&mut Vec::new());
}
