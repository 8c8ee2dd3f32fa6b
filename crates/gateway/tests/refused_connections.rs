//! Examination of refused connections with sockets: the paths to several workers fail at the same time, and another
//! gateway reaches some of them or none.

use std::net::SocketAddr;

use parking_lot::Mutex;
use tansyhall_core::time::MonotonicClock;
use tansyhall_forwarding::{
    ComparableWorker, ConnectionRefusalCause, ConnectionRefusalStep, Reachability, WorkerEvidence,
    WorkerId,
};
use tansyhall_gateway::refused_connections::{Examination, Findings};
use tokio::net::{TcpListener, TcpStream};

/// Returns an address that refuses connections.
async fn refusing_address() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    listener.local_addr().expect("a bound address")
}

async fn connect_to(address: SocketAddr) -> Reachability {
    match TcpStream::connect(address).await {
        Ok(_) => Reachability::Connected,
        Err(_) => Reachability::Refused,
    }
}

fn worker(number: usize) -> WorkerId {
    WorkerId::from(format!("w-{number}").as_str())
}

/// Examines a refusal by the first worker, compared with workers at these addresses.
async fn examine(
    evidence: &Mutex<WorkerEvidence>,
    by_gateways: Reachability,
    compared: &[SocketAddr],
) -> Option<Findings> {
    let clock = MonotonicClock::start();
    let suspect = worker(0);
    let others = (1..=compared.len()).map(|number| ComparableWorker {
        worker: worker(number),
        is_same_zone: true,
    });
    let step = evidence
        .lock()
        .record_refusal(clock.now(), &suspect, || others.collect());
    let expected = (1..=compared.len()).map(worker).collect();
    assert_eq!(step, ConnectionRefusalStep::Examine(expected));
    let comparisons = compared.iter().enumerate().map(|(index, address)| {
        let address = *address;
        async move { (worker(index + 1), connect_to(address).await) }
    });
    let examination = Examination {
        evidence,
        clock,
        worker: &suspect,
    };
    examination.run(async { by_gateways }, comparisons).await
}

#[actix_rt::test]
async fn workers_that_refuse_together_have_not_ended_whatever_other_gateways_find() {
    let compared = [refusing_address().await, refusing_address().await];
    for by_gateways in [
        Reachability::Connected,
        Reachability::Refused,
        Reachability::Unknown,
    ] {
        let findings = examine(&Mutex::default(), by_gateways, &compared).await;
        let cause = findings.map(|findings| findings.cause);
        assert_eq!(cause, Some(ConnectionRefusalCause::PathFault));
    }
}

#[actix_rt::test]
async fn a_worker_that_refuses_while_another_is_reached_has_ended_unless_a_gateway_reaches_it() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let listening = listener.local_addr().expect("a bound address");
    let compared = [refusing_address().await, listening];
    for (by_gateways, expected) in [
        (Reachability::Connected, ConnectionRefusalCause::PathFault),
        (Reachability::Refused, ConnectionRefusalCause::WorkerEnded),
        (Reachability::Unknown, ConnectionRefusalCause::WorkerEnded),
    ] {
        let findings = examine(&Mutex::default(), by_gateways, &compared).await;
        let cause = findings.map(|findings| findings.cause);
        assert_eq!(cause, Some(expected), "{by_gateways:?}");
    }
}
