//! The judge of requests that reach workers after their departure.

use tansyhall_fault_soak::judges::check_drain;
use tansyhall_fault_soak::{
    Departure, Evidence, GatewayFault, GatewayFaultPeriod, IgnoredPeriod, RouteKind,
};

use crate::records::{arrival, evidence, key, sent};

const DEPARTED_MS: u64 = 10_000;
const LATE_MS: u64 = 12_001;
const SENDER: usize = 0;
const OTHER: usize = 1;

/// Returns a worker that departs, and a request of [`SENDER`] that reaches it at this time. Another gateway serves as well.
fn evidence_with_departure(arrived_ms: u64) -> Evidence {
    let mut requests = Vec::new();
    for gateway in [SENDER, OTHER] {
        let mut request = sent(RouteKind::Once, key(&format!("r-{gateway}")));
        request.gateway = gateway;
        requests.push(request);
    }
    let mut evidence = evidence(requests, Vec::new());
    let mut arrived = arrival(key(&format!("r-{SENDER}")));
    arrived.at_ms = arrived_ms;
    evidence.departures.push(Departure {
        worker: arrived.worker.clone(),
        at_ms: DEPARTED_MS,
    });
    evidence.arrivals.push(arrived);
    evidence
}

fn ignored(gateway: usize) -> IgnoredPeriod {
    IgnoredPeriod {
        gateway,
        from_ms: DEPARTED_MS - 100,
        to_ms: LATE_MS,
    }
}

fn frozen(gateway: usize) -> GatewayFaultPeriod {
    GatewayFaultPeriod {
        gateway,
        fault: GatewayFault::Freeze,
        from_ms: DEPARTED_MS,
        to_ms: DEPARTED_MS + 100,
    }
}

#[test]
fn drain_detects_requests_after_the_drain_time() {
    assert!(check_drain(&evidence_with_departure(LATE_MS - 1)).is_empty());
    assert_eq!(check_drain(&evidence_with_departure(LATE_MS)).len(), 1);
    let mut other_incarnation = evidence_with_departure(LATE_MS);
    other_incarnation.arrivals[0].is_meant = false;
    assert!(check_drain(&other_incarnation).is_empty());
}

#[test]
fn drain_holds_for_a_gateway_that_the_store_ignores_as_long_as_another_one_can_tell() {
    let mut evidence = evidence_with_departure(LATE_MS);
    evidence.ignored.push(ignored(SENDER));
    assert_eq!(check_drain(&evidence).len(), 1);
    let mut without_the_other = evidence.clone();
    without_the_other.ignored.push(ignored(OTHER));
    assert!(check_drain(&without_the_other).is_empty());
    evidence.troubles.push(frozen(OTHER));
    assert!(check_drain(&evidence).is_empty());
}

#[test]
fn drain_does_not_hold_for_a_gateway_that_was_disturbed() {
    let mut evidence = evidence_with_departure(LATE_MS);
    evidence.troubles.push(frozen(SENDER));
    assert!(check_drain(&evidence).is_empty());
}
