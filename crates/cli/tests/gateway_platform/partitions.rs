//! Gateways that cannot reach any worker while other gateways can. They serve their callers through the others.

use std::cell::Cell;
use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use futures_util::stream::{self, StreamExt};
use tansyhall_platform_standin::Behaviour;
use tansyhall_testing::{eventually, get_metric_sum, Link, Partition};

use crate::support::{
    send_request, source_address, CallerAnswer, Site, SiteGateway, WorkerSpec, AT_MOST_ONCE,
    REPEATABLE, RESUMABLE,
};

const GATEWAYS: usize = 3;
const EVENTS: u32 = 3;
const APP: WorkerSpec = ("app", None, Behaviour::Serve { events: EVENTS });
/// Streams that last long enough to be interrupted in the middle.
const SLOW: Behaviour = Behaviour::Paced {
    events: EVENTS,
    pause_ms: 400,
};
const PATHS: [&str; 3] = [REPEATABLE, AT_MOST_ONCE, RESUMABLE];
/// Time after the beginning of a partition from which requests must be served again.
const RECOVERY_TIME: Duration = Duration::from_secs(3);
/// Requests at each gateway that are compared.
const REQUESTS: usize = 60;
/// Requests that are sent at the same time.
const CONCURRENCY: usize = 4;
/// Pause between two rounds of requests at all gateways.
const ROUND_PAUSE: Duration = Duration::from_millis(50);
/// Well below the callers' deadline of 15 s.
const REFUSAL_TIME_LIMIT: Duration = Duration::from_secs(5);
/// Statuses which guarantee that the request has not run and never will.
const NOT_RUN_STATUSES: [u16; 4] = [408, 421, 429, 503];

/// A site whose gateways can be partitioned from its workers.
struct PartitionableSite {
    site: Site,
    links: Vec<Link>,
    /// The number of rounds of requests so far, which is part of their ids.
    rounds: Cell<usize>,
}

/// A request and its answer.
struct Answered {
    gateway: usize,
    id: String,
    path: &'static str,
    answer: CallerAnswer,
    took: Duration,
}

impl Answered {
    fn is_served(&self) -> bool {
        let is_complete = self.answer.status == 200 && self.answer.is_complete;
        is_complete && self.answer.body == complete_body()
    }
}

fn complete_body() -> Vec<u8> {
    let events = (1..=EVENTS).map(|n| format!("id: {n}\ndata: piece {n}\n\n"));
    events.collect::<String>().into_bytes()
}

impl PartitionableSite {
    async fn start() -> Self {
        let site = Site::start_with_source_addresses(&[APP; 4], GATEWAYS).await;
        let links = site.link_workers().await;
        site.wait_until_gateways_know_each_other().await;
        let rounds = Cell::new(0);
        Self {
            site,
            links,
            rounds,
        }
    }

    fn next_round(&self) -> usize {
        self.rounds.set(self.rounds.get() + 1);
        self.rounds.get()
    }

    /// Partitions gateways from all workers, or heals their partitions with `None`.
    fn set_partition(&self, gateways: &[usize], partition: Option<Partition>) {
        for link in &self.links {
            for gateway in gateways {
                link.set_partition(source_address(*gateway), partition);
            }
        }
    }

    fn set_behaviour(&self, behaviour: Behaviour) {
        for worker in &self.site.workers {
            worker.worker.set_behaviour(behaviour);
        }
    }

    fn gateway(&self, index: usize) -> &SiteGateway {
        &self.site.gateways[index]
    }

    async fn send(&self, gateway: usize, id: String, path: &'static str) -> Answered {
        let started = Instant::now();
        let answer = send_request(self.gateway(gateway), &id, path, b"x").await;
        Answered {
            gateway,
            id,
            path,
            answer,
            took: started.elapsed(),
        }
    }

    /// Sends a number of requests, of all kinds in turn, to a gateway, a few at a time.
    async fn send_many(&self, gateway: usize, count: usize) -> Vec<Answered> {
        let round = self.next_round();
        let sending = (0..count).map(|number| {
            let id = format!("{round}-{gateway}-{number}");
            self.send(gateway, id, PATHS[number % PATHS.len()])
        });
        let answers = stream::iter(sending).buffer_unordered(CONCURRENCY);
        answers.collect().await
    }

    /// Sends requests to all gateways for a while, a few at a time.
    async fn send_for(&self, duration: Duration) -> Vec<Answered> {
        let round = self.next_round();
        let started = Instant::now();
        let mut answers = Vec::new();
        for number in 0.. {
            if started.elapsed() >= duration {
                break;
            }
            let sending = (0..GATEWAYS).map(|gateway| {
                let id = format!("{round}-{gateway}-{number}");
                self.send(gateway, id, PATHS[number % PATHS.len()])
            });
            answers.extend(futures_util::future::join_all(sending).await);
            actix_rt::time::sleep(ROUND_PAUSE).await;
        }
        answers
    }

    /// Sends [`REQUESTS`] requests to each gateway, and returns their answers by gateway.
    async fn send_to_all(&self) -> Vec<Vec<Answered>> {
        let sending = (0..GATEWAYS).map(|gateway| self.send_many(gateway, REQUESTS));
        futures_util::future::join_all(sending).await
    }

    /// Checks that no answer promises what did not happen, and that no request which runs at most once ran again.
    fn check_runs(&self, answers: &[Answered]) {
        for answered in answers {
            let runs = self.site.runs_of(&answered.id);
            let described = format!("{}: {:?}", answered.id, answered.answer);
            if answered.path == AT_MOST_ONCE {
                let is_refused = NOT_RUN_STATUSES.contains(&answered.answer.status);
                assert!(
                    runs <= usize::from(!is_refused),
                    "ran {runs} times, {described}"
                );
            }
            if answered.answer.status == 200 && answered.answer.is_complete {
                assert!(answered.is_served(), "wrong answer, {described}");
            }
        }
    }

    /// Heals all partitions, and waits until every gateway serves all requests by itself.
    async fn heal(&self) {
        self.set_partition(&[0, 1, 2], None);
        eventually("all requests are served after healing", || async {
            let rounds = self.send_to_all().await;
            let is_served = |answered: &Answered| answered.is_served();
            rounds.iter().flatten().all(is_served).then_some(())
        })
        .await;
        self.check_relays_are_unused().await;
    }

    /// Waits until no gateway considers itself partitioned, and checks that nothing is relayed from then on.
    async fn check_relays_are_unused(&self) {
        eventually("no gateway uses relays", || async {
            for gateway in &self.site.gateways {
                if gateway.metric("gateway_partitioned").await? > 0.0 {
                    return None;
                }
            }
            Some(())
        })
        .await;
        let before = self.relayed_connections().await;
        let rounds = self.send_to_all().await;
        assert!(rounds.iter().flatten().all(Answered::is_served));
        assert_eq!(self.relayed_connections().await, before);
    }

    /// Returns the number of connections that gateways asked each other to relay.
    async fn relayed_connections(&self) -> f64 {
        let mut count = 0.0;
        for gateway in &self.site.gateways {
            let metrics = gateway.addresses.metrics;
            let of_gateway = get_metric_sum(metrics, "gateway_relayed_connections_total").await;
            count += of_gateway.unwrap_or(0.0);
        }
        count
    }

    /// Partitions gateways, and checks that callers are served at all gateways once the partition has lasted for
    /// [`RECOVERY_TIME`], and after it has healed.
    async fn check_recovery(&self, partitioned: &[usize], partition: Partition) {
        self.check_runs(&self.send_for(ROUND_PAUSE).await);
        self.set_partition(partitioned, Some(partition));
        self.check_runs(&self.send_for(RECOVERY_TIME).await);
        let rounds = self.send_to_all().await;
        let served = |round: &Vec<Answered>| round.iter().filter(|a| a.is_served()).count();
        let counts: Vec<usize> = rounds.iter().map(served).collect();
        for round in &rounds {
            self.check_runs(round);
        }
        assert!(
            self.relayed_connections().await > 0.0,
            "nothing was relayed"
        );
        for gateway in 0..GATEWAYS {
            if partitioned.contains(&gateway) {
                assert!(
                    counts[gateway] * 3 >= REQUESTS * 2,
                    "{partition:?} of {partitioned:?}: served {counts:?} of {REQUESTS}, {}",
                    statuses(&rounds[gateway])
                );
            } else {
                assert_eq!(counts[gateway], REQUESTS, "{}", statuses(&rounds[gateway]));
            }
        }
        self.heal().await;
    }
}

/// Describes the statuses of answers.
fn statuses(answers: &[Answered]) -> String {
    let mut counts = BTreeMap::<u16, usize>::new();
    for answered in answers {
        *counts.entry(answered.answer.status).or_default() += 1;
    }
    format!("answers by status: {counts:?}")
}

#[actix_rt::test]
async fn a_gateway_whose_connections_to_workers_are_reset_serves_its_callers() {
    let site = PartitionableSite::start().await;
    site.check_recovery(&[0], Partition::Reset).await;
}

#[actix_rt::test]
async fn a_gateway_whose_new_connections_to_workers_are_reset_serves_its_callers() {
    let site = PartitionableSite::start().await;
    site.check_recovery(&[0], Partition::ResetNew).await;
}

#[actix_rt::test]
async fn two_of_three_gateways_without_workers_serve_their_callers() {
    let site = PartitionableSite::start().await;
    site.check_recovery(&[0, 1], Partition::Reset).await;
}

#[actix_rt::test]
async fn two_partitions_in_series_are_each_recovered_from() {
    let site = PartitionableSite::start().await;
    site.check_recovery(&[0], Partition::Reset).await;
    site.check_recovery(&[0, 1], Partition::ResetNew).await;
}

/// Starts a site whose first gateway has recovered from a partition, with workers that answer slowly.
async fn start_recovered() -> PartitionableSite {
    let site = PartitionableSite::start().await;
    site.set_partition(&[0], Some(Partition::Reset));
    site.send_for(RECOVERY_TIME).await;
    let answers = site.send_many(0, REQUESTS).await;
    let served = answers.iter().filter(|answered| answered.is_served());
    assert!(served.count() * 3 >= REQUESTS * 2, "{}", statuses(&answers));
    site.set_behaviour(SLOW);
    site
}

/// Sends slow requests to the first gateway, sends a signal to the second gateway while they run, and returns their
/// answers.
async fn signal_during_requests(site: &PartitionableSite, signal: &str) -> Vec<Answered> {
    const COUNT: usize = 12;
    let sending = (0..COUNT).map(|number| {
        let id = format!("interrupted-{number}");
        site.send(0, id, PATHS[number % PATHS.len()])
    });
    let signalling = async {
        eventually("the requests run", || async {
            let ids = (0..COUNT).map(|number| format!("interrupted-{number}"));
            let running = ids.filter(|id| site.site.runs_of(id) > 0).count();
            (running * 3 >= COUNT * 2).then_some(())
        })
        .await;
        site.gateway(1).process.signal(signal);
    };
    let (answers, ()) = futures_util::join!(futures_util::future::join_all(sending), signalling);
    answers
}

#[actix_rt::test]
async fn a_stopping_gateway_finishes_what_it_relays() {
    let site = start_recovered().await;
    let answers = signal_during_requests(&site, "TERM").await;
    site.check_runs(&answers);
    let served = answers.iter().filter(|answered| answered.is_served());
    assert_eq!(served.count(), answers.len(), "{}", statuses(&answers));
    let later = site.send_many(0, REQUESTS / 2).await;
    site.check_runs(&later);
    let served = later.iter().filter(|answered| answered.is_served());
    assert_eq!(served.count(), later.len(), "{}", statuses(&later));
}

#[actix_rt::test]
async fn a_killed_gateway_truncates_no_relayed_answer_silently_and_causes_no_second_run() {
    let site = start_recovered().await;
    let answers = signal_during_requests(&site, "KILL").await;
    site.check_runs(&answers);
    for answered in &answers {
        let answer = &answered.answer;
        let is_error = [502, 503].contains(&answer.status);
        let is_visibly_truncated = answer.status == 200 && !answer.is_complete;
        assert!(
            answered.is_served() || is_error || is_visibly_truncated,
            "{}: {answer:?}",
            answered.id
        );
    }
    site.set_behaviour(APP.2);
    eventually(
        "requests are served through the remaining gateway",
        || async {
            let answers = site.send_many(0, REQUESTS).await;
            let served = answers.iter().filter(|answered| answered.is_served());
            (served.count() * 3 >= REQUESTS * 2).then_some(())
        },
    )
    .await;
}

#[actix_rt::test]
async fn requests_are_refused_at_once_if_no_gateway_reaches_a_worker() {
    for partition in [Partition::Reset, Partition::ResetNew] {
        let site = PartitionableSite::start().await;
        site.set_partition(&[0, 1, 2], Some(partition));
        site.check_runs(&site.send_for(RECOVERY_TIME).await);
        for round in site.send_to_all().await {
            site.check_runs(&round);
            for answered in &round {
                assert!(answered.took < REFUSAL_TIME_LIMIT, "{:?}", answered.took);
            }
            let refused = round.iter().filter(|answered| {
                answered.answer.status == 503 && answered.answer.retry_after.is_some()
            });
            let described = format!("{partition:?}, {}", statuses(&round));
            assert_eq!(refused.count(), round.len(), "{described}");
        }
        site.heal().await;
    }
}

#[actix_rt::test]
async fn a_partitioned_gateway_does_not_make_others_refuse_or_bar_requests() {
    for partition in [Partition::Reset, Partition::ResetNew] {
        let site = PartitionableSite::start().await;
        site.check_runs(&site.send_for(ROUND_PAUSE).await);
        site.set_partition(&[0], Some(partition));
        let answers = site.send_for(2 * RECOVERY_TIME).await;
        site.check_runs(&answers);
        for answered in answers.iter().filter(|answered| answered.gateway != 0) {
            assert!(
                answered.is_served(),
                "{}: {:?}",
                answered.id,
                answered.answer
            );
        }
        for gateway in 0..GATEWAYS {
            for metric in ["gateway_barred_requests", "gateway_worker_ends_total"] {
                let value = site.gateway(gateway).metric(metric).await;
                assert_eq!(
                    value,
                    Some(0.0),
                    "{partition:?}, gateway {gateway}, {metric}"
                );
            }
        }
        site.heal().await;
    }
}
