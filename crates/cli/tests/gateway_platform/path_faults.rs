//! Faults of the paths between gateways and workers: connections break and new ones are refused although the workers run.
//!
//! The failure: gateways took such refusals for the ends of the workers, barred the requests that these workers ran, and
//! told the other gateways.

use std::net::{SocketAddr, TcpStream};

use futures_util::future::join_all;
use tansyhall_platform_standin::Behaviour;
use tansyhall_testing::{eventually, Link};
use tokio::time::sleep;

use crate::crashing_requests::UPDATE_TIME_LIMIT;
use crate::support::{send_request, Site, WorkerSpec, REPEATABLE};

const RUNNING: WorkerSpec = ("app", None, Behaviour::Hang);
const SERVING: WorkerSpec = ("app", None, Behaviour::Serve { events: 0 });
const WORKERS: usize = 5;
/// Number of identical requests, enough to run at several workers at the same time.
const REQUESTS: usize = 4 * WORKERS;
const BODY: &[u8] = b"harmless";

async fn running_workers(site: &Site) -> usize {
    let workers = site.workers.iter();
    workers
        .filter(|worker| !worker.worker.runs().is_empty())
        .count()
}

/// Closes all links at the same time, as far as the gateways observe it.
async fn break_paths(site: &Site, links: Vec<Link>) {
    for gateway in &site.gateways {
        gateway.process.signal("STOP");
    }
    let addresses: Vec<SocketAddr> = links.iter().map(|link| link.listen_address).collect();
    drop(links);
    eventually("all paths refuse connections", || async {
        let refuses = |address: &SocketAddr| TcpStream::connect(*address).is_err();
        addresses.iter().all(refuses).then_some(())
    })
    .await;
    for gateway in &site.gateways {
        gateway.process.signal("CONT");
    }
}

async fn assert_a_fault_of_all_paths_is_not_an_end(gateways: usize) {
    let site = Site::start(&[RUNNING; WORKERS], gateways).await;
    let links = site.link_workers().await;
    site.wait_until_gateways_know_each_other().await;
    let requests = (0..REQUESTS).map(|number| {
        let gateway = &site.gateways[number % gateways];
        async move { send_request(gateway, &format!("r-{number}"), REPEATABLE, BODY).await }
    });
    let fault = async {
        eventually("all workers run the request", || async {
            (running_workers(&site).await == WORKERS).then_some(())
        })
        .await;
        break_paths(&site, links).await;
    };
    let (answers, ()) = futures_util::join!(join_all(requests), fault);
    sleep(UPDATE_TIME_LIMIT).await;
    let again = send_request(&site.gateways[0], "again", REPEATABLE, BODY).await;
    let statuses: Vec<u16> = answers.iter().map(|answer| answer.status).collect();
    assert!(!statuses.contains(&500), "barred: {statuses:?}");
    assert_ne!(again.status, 500, "the request is barred");
    for gateway in &site.gateways {
        let ends = gateway.metric("gateway_worker_ends_total").await;
        assert_eq!(ends, Some(0.0));
    }
}

#[actix_rt::test]
async fn a_gateway_whose_paths_to_all_workers_are_refused_counts_no_ends() {
    assert_a_fault_of_all_paths_is_not_an_end(1).await;
}

/// The other gateways are separated from the workers by the same fault.
#[actix_rt::test]
async fn gateways_whose_paths_to_all_workers_are_refused_count_no_ends() {
    assert_a_fault_of_all_paths_is_not_an_end(3).await;
}

/// Guards against two gateways that refuse each other the only living worker, which neither has tried, because both fail
/// to reach the same dead ones.
#[actix_rt::test]
async fn gateways_that_both_know_dead_workers_serve_from_the_only_living_one() {
    for dead in [2, 4, 8] {
        let site = Site::start(&[SERVING].repeat(1 + dead), 2).await;
        site.wait_until_gateways_know_each_other().await;
        for worker in &site.workers[1..] {
            worker.worker.stop().await;
        }
        let mut statuses = Vec::new();
        for number in 0..REQUESTS {
            let gateway = &site.gateways[number % 2];
            let answer = send_request(gateway, &format!("r-{number}"), REPEATABLE, BODY).await;
            statuses.push(answer.status);
        }
        assert_eq!(statuses, [200; REQUESTS], "{dead} dead workers");
    }
}
