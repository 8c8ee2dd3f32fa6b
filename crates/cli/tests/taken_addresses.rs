//! The harness starts a node again while another process listens at its address.

use std::net::TcpListener;
use std::time::Duration;

use tansyhall_testing::{free_peer_address, peer_node_settings, start_node, start_standin};

/// Longer than a node takes to find out that its address is taken.
const OCCUPATION_TIME: Duration = Duration::from_secs(1);

#[actix_rt::test]
async fn a_node_whose_address_is_taken_is_started_again_until_it_is_free() {
    let platform = start_standin(&["platform"]);
    let directory = tempfile::tempdir().expect("a temporary directory is created");
    let peers = free_peer_address();
    let settings = peer_node_settings("fleet", "node", "zone", platform.address, peers, &[]);
    let listener = TcpListener::bind(peers).expect("the address is free");
    let occupation = std::thread::spawn(move || {
        std::thread::sleep(OCCUPATION_TIME);
        drop(listener);
    });
    let node = start_node(directory.path(), "node", &settings);
    occupation.join().expect("the thread ends");
    assert!(TcpListener::bind(peers).is_err(), "{}", node.callers);
}
