//! A worker's connections are divided by use, within what it accepts.

use tansyhall_forwarding::{connection_limit, KnownRequests};

const WORKER: u32 = 100;

#[test]
fn each_gateway_has_its_part() {
    assert_eq!(connection_limit(WORKER, 6, KnownRequests::None), 13);
    assert_eq!(connection_limit(WORKER, 900, KnownRequests::None), 4);
    for in_flight in [0, 13, 40, 65] {
        assert!(connection_limit(WORKER, 6, KnownRequests::All(in_flight)) >= 13);
    }
    assert_eq!(connection_limit(WORKER, 900, KnownRequests::Placed), 40);
}

#[test]
fn a_gateway_may_use_connections_that_others_do_not() {
    assert_eq!(connection_limit(WORKER, 6, KnownRequests::All(0)), 75);
    assert_eq!(connection_limit(WORKER, 6, KnownRequests::All(20)), 35);
}

// Guards against gateways that together open more connections than a worker accepts, because each takes over the rest.
#[test]
fn gateways_that_use_their_limits_stay_within_what_a_worker_accepts() {
    for gateways in 2..12 {
        let mut open = vec![0_u32; gateways];
        for round in 0..200 {
            let index = round % gateways;
            let others = open.iter().sum::<u32>() - open[index];
            let limit = connection_limit(WORKER, gateways as u64, KnownRequests::All(others));
            open[index] = limit;
            let total: u32 = open.iter().sum();
            assert!(total <= WORKER, "{open:?} after {round} rounds");
        }
    }
}
