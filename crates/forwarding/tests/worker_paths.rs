//! When workers are reached through relays, which relays are asked, and when the direct path is probed.

use std::collections::{BTreeSet, HashSet};
use std::time::Duration;

use proptest::prelude::*;
use tansyhall_core::{Timestamp, ZoneName};
use tansyhall_fixed_cases::config_with_seed;
use tansyhall_forwarding::worker_paths::{
    FAILURE_MEMORY, MAX_FAILURES, PROBE_INTERVAL, UNAVAILABLE_PAUSE,
};
use tansyhall_forwarding::{
    ConnectFailure, DirectOutcome, PathChange, Probe, RelayOutcome, RelayPeer, WorkerId,
    WorkerPath, WorkerPaths,
};

/// Seed of the property tests.
const SEED: u64 = 20_261_204;
const WORKERS: usize = 6;
const PEERS: usize = 8;

fn zone(number: usize) -> ZoneName {
    ZoneName::new(format!("z-{number}").as_str())
}

fn worker(number: usize) -> WorkerId {
    WorkerId::from(format!("w-{number}").as_str())
}

/// Returns a peer; every other one is in the zone of the gateway.
fn peer(number: usize) -> RelayPeer {
    RelayPeer {
        name: format!("g-{number}"),
        zone: Some(zone(number % 2)),
    }
}

fn peers() -> Vec<RelayPeer> {
    (0..PEERS).map(peer).collect()
}

fn paths() -> WorkerPaths {
    let mut paths = WorkerPaths::new(zone(0));
    paths.set_known_workers(WORKERS);
    paths
}

fn at(millis: u64) -> Timestamp {
    Timestamp::from_millis(millis)
}

/// Records that a direct connection failed and that a relay reached the worker.
fn fail_directly_and_relay(
    paths: &mut WorkerPaths,
    now: Timestamp,
    number: usize,
    outcome: DirectOutcome,
) -> Option<PathChange> {
    let failed = paths.record_direct(now, &worker(number), outcome);
    let relayed = paths.record_relayed(now, &peer(1), &worker(number), RelayOutcome::Connected);
    failed.or(relayed)
}

fn partitioned(outcome: DirectOutcome) -> WorkerPaths {
    let mut paths = paths();
    for number in 0..2 {
        fail_directly_and_relay(&mut paths, at(100), number, outcome);
    }
    assert!(paths.is_partitioned());
    paths
}

#[test]
fn a_worker_that_only_a_relay_reaches_is_reached_through_relays_first() {
    let mut paths = paths();
    assert_eq!(paths.path_to(&worker(0)), WorkerPath::DirectFirst);
    fail_directly_and_relay(&mut paths, at(1), 0, DirectOutcome::Failed);
    assert_eq!(paths.path_to(&worker(0)), WorkerPath::RelayFirst);
    assert_eq!(paths.path_to(&worker(1)), WorkerPath::DirectFirst);
    assert!(!paths.is_partitioned());
}

#[test]
fn a_failure_that_no_relay_disproves_changes_nothing() {
    let mut paths = paths();
    for number in 0..WORKERS {
        let failed = paths.record_direct(at(1), &worker(number), DirectOutcome::Refused);
        assert_eq!(failed, None);
        let refused = RelayOutcome::WorkerRefused;
        paths.record_relayed(at(1), &peer(1), &worker(number), refused);
        assert_eq!(paths.path_to(&worker(number)), WorkerPath::DirectFirst);
    }
    assert!(!paths.is_partitioned());
    assert!(paths.may_be_partitioned(at(1)));
    paths.record_direct(at(2), &worker(0), DirectOutcome::Connected);
    assert!(!paths.may_be_partitioned(at(2)));
}

#[test]
fn two_unreached_workers_make_a_partition_which_one_direct_connection_ends() {
    let mut paths = paths();
    fail_directly_and_relay(&mut paths, at(100), 0, DirectOutcome::Failed);
    let change = paths.record_direct(at(200), &worker(1), DirectOutcome::Refused);
    let expected = PathChange::Partitioned {
        since: at(100),
        failed_workers: 2,
        by_refusal: false,
    };
    assert_eq!(change, Some(expected));
    assert_eq!(paths.path_to(&worker(5)), WorkerPath::RelayOnly);
    let change = paths.record_direct(at(900), &worker(4), DirectOutcome::Connected);
    assert_eq!(change, Some(PathChange::Restored { since: at(100) }));
    for number in 0..WORKERS {
        assert_eq!(paths.path_to(&worker(number)), WorkerPath::DirectFirst);
    }
}

#[test]
fn a_direct_success_in_between_prevents_a_partition() {
    let mut paths = paths();
    for number in 0..WORKERS - 1 {
        let now = at(100 + number as u64);
        fail_directly_and_relay(&mut paths, now, number, DirectOutcome::Failed);
        paths.record_direct(now, &worker(WORKERS - 1), DirectOutcome::Connected);
    }
    assert!(!paths.is_partitioned());
    assert_eq!(paths.path_to(&worker(0)), WorkerPath::RelayFirst);
}

/// Guards against the end of a partition by an answer on a connection that outlived the beginning of the partition.
#[test]
fn an_answer_on_an_older_connection_does_not_end_a_partition() {
    let mut paths = partitioned(DirectOutcome::Reset);
    assert_eq!(paths.record_answered(&worker(0), at(99)), None);
    assert!(paths.is_partitioned());
    let restored = paths.record_answered(&worker(0), at(101));
    assert_eq!(restored, Some(PathChange::Restored { since: at(100) }));
}

#[test]
fn direct_connections_are_doubted_until_one_is_answered_after_a_failure() {
    let mut paths = paths();
    assert!(!paths.doubts_direct(at(1), &worker(1)));
    paths.record_direct(at(10), &worker(0), DirectOutcome::Reset);
    assert!(paths.doubts_direct(at(11), &worker(1)));
    paths.record_answered(&worker(1), at(9));
    assert!(paths.doubts_direct(at(12), &worker(1)));
    paths.record_answered(&worker(1), at(11));
    assert!(!paths.doubts_direct(at(12), &worker(1)));
}

#[test]
fn one_worker_suffices_where_there_is_only_one() {
    let mut paths = paths();
    paths.set_known_workers(1);
    fail_directly_and_relay(&mut paths, at(1), 0, DirectOutcome::Refused);
    assert!(paths.is_partitioned());
}

#[test]
fn old_failures_do_not_add_up_to_a_partition() {
    let mut paths = paths();
    fail_directly_and_relay(&mut paths, at(100), 0, DirectOutcome::Failed);
    fail_directly_and_relay(&mut paths, at(60_000), 1, DirectOutcome::Failed);
    assert!(!paths.is_partitioned());
}

#[test]
fn idle_direct_connections_end_with_a_path_that_hangs_and_live_on_with_one_that_refuses() {
    let hanging = partitioned(DirectOutcome::Failed).idle_rule(&worker(3));
    assert_eq!(hanging.direct_alive_since, at(100));
    assert!(hanging.keeps_relayed);
    let refusing = partitioned(DirectOutcome::Refused).idle_rule(&worker(3));
    assert_eq!(refusing.direct_alive_since, Timestamp::default());
    let mut healed = partitioned(DirectOutcome::Failed);
    healed.record_direct(at(900), &worker(0), DirectOutcome::Connected);
    assert!(!healed.idle_rule(&worker(3)).keeps_relayed);
}

#[test]
fn peers_of_the_own_zone_are_asked_first_and_others_after_a_failure() {
    let paths = paths();
    let peers = peers();
    for draw in 0..PEERS as u64 {
        let first = paths.select_relay(at(1), &peers, &[], draw);
        let first = first.expect("a peer");
        assert_eq!(peers[first].zone, Some(zone(0)));
        let second = paths.select_relay(at(1), &peers, &[first], draw);
        assert_eq!(peers[second.expect("a peer")].zone, Some(zone(1)));
    }
}

#[test]
fn a_partitioned_peer_of_the_own_zone_directs_the_next_connections_to_other_zones() {
    let mut paths = paths();
    let peers = peers();
    let outcome = RelayOutcome::RelayPartitioned;
    paths.record_relayed(at(1), &peers[0], &worker(0), outcome);
    let selected = paths.select_relay(at(2), &peers, &[], 0).expect("a peer");
    assert_eq!(peers[selected].zone, Some(zone(1)));
    let own_zone_only = [peer(0), peer(2)];
    let selected = paths.select_relay(at(2), &own_zone_only, &[], 0);
    assert_eq!(selected, Some(1), "the partitioned peer is passed over");
}

/// Guards against a gateway that restarts, and refuses connections meanwhile, being passed over longer than any other.
#[test]
fn unavailable_peers_are_passed_over_for_a_second() {
    let peers = [peer(0)];
    let outcomes = [
        RelayOutcome::Unavailable,
        RelayOutcome::AtLimit,
        RelayOutcome::Leaving,
        RelayOutcome::RelayPartitioned,
        RelayOutcome::Unsupported,
    ];
    for outcome in outcomes {
        let mut paths = paths();
        let now = at(1);
        paths.record_relayed(now, &peers[0], &worker(0), outcome);
        let nearly_over = now + UNAVAILABLE_PAUSE - Duration::from_millis(1);
        assert_eq!(paths.select_relay(nearly_over, &peers, &[], 0), None);
        let selected = paths.select_relay(now + UNAVAILABLE_PAUSE, &peers, &[], 0);
        assert_eq!(selected, Some(0));
    }
}

#[test]
fn a_failed_connection_says_as_much_about_the_worker_as_relays_confirm() {
    let refused = Some(DirectOutcome::Refused);
    let failed = Some(DirectOutcome::Failed);
    let cases = [
        (refused, vec![], ConnectFailure::WorkerRefused),
        (
            refused,
            vec![RelayOutcome::Unsupported],
            ConnectFailure::WorkerRefused,
        ),
        (
            refused,
            vec![RelayOutcome::WorkerUnreachable],
            ConnectFailure::WorkerUnreachable,
        ),
        (
            refused,
            vec![RelayOutcome::RelayPartitioned],
            ConnectFailure::WorkerUnreachable,
        ),
        (failed, vec![], ConnectFailure::WorkerUnreachable),
        (
            Some(DirectOutcome::Reset),
            vec![],
            ConnectFailure::WorkerUnreachable,
        ),
        (
            failed,
            vec![RelayOutcome::WorkerRefused],
            ConnectFailure::WorkerRefused,
        ),
    ];
    for (direct, relayed, expected) in cases {
        let mut paths = paths();
        for outcome in &relayed {
            paths.record_relayed(at(1), &peer(1), &worker(0), *outcome);
        }
        let classified = paths.classify_failure(at(1), direct, &relayed);
        assert_eq!(classified, expected, "{direct:?}, {relayed:?}");
    }
    let paths = partitioned(DirectOutcome::Refused);
    let unanswered = [RelayOutcome::Unavailable];
    let classified = paths.classify_failure(at(200), None, &unanswered);
    assert_eq!(classified, ConnectFailure::NoPath);
    let unreached = [RelayOutcome::WorkerUnreachable];
    let classified = paths.classify_failure(at(200), None, &unreached);
    assert_eq!(classified, ConnectFailure::WorkerUnreachable);
    let refused_by_relay = [RelayOutcome::WorkerRefused];
    let classified = paths.classify_failure(at(200), None, &refused_by_relay);
    assert_eq!(classified, ConnectFailure::WorkerRefused);
}

#[test]
fn two_gateways_that_reach_no_worker_refuse_requests_and_blame_no_worker() {
    let mut paths = paths();
    let refused = DirectOutcome::Refused;
    let outcome = RelayOutcome::RelayPartitioned;
    for number in 0..=WORKERS / 2 {
        paths.record_direct(at(2), &worker(number), refused);
    }
    paths.record_unreached_sample(at(2), WORKERS);
    paths.record_relayed(at(2), &peer(1), &worker(1), outcome);
    // The peer is not asked again for a while, and what it said still counts.
    for relayed in [vec![outcome], vec![]] {
        let classified = paths.classify_failure(at(2), Some(refused), &relayed);
        assert_eq!(classified, ConnectFailure::NoPath);
    }
}

/// Guards against a gateway that refuses requests because most workers have ended and a relay may be partitioned.
#[test]
fn workers_that_end_together_are_not_a_missing_path() {
    let mut paths = paths();
    let refused = DirectOutcome::Refused;
    for number in 0..WORKERS - 1 {
        paths.record_direct(at(1), &worker(number), refused);
    }
    let outcome = RelayOutcome::RelayPartitioned;
    paths.record_relayed(at(1), &peer(1), &worker(0), outcome);
    let classified = paths.classify_failure(at(1), Some(refused), &[outcome]);
    assert_eq!(classified, ConnectFailure::WorkerUnreachable);
    assert_eq!(paths.take_due_probe(at(1)), Some(Probe::Sample));
    paths.record_direct(at(2), &worker(WORKERS - 1), DirectOutcome::Connected);
    assert!(!paths.may_be_partitioned(at(2)));
}

#[test]
fn a_sample_proves_nothing_once_a_later_connection_has_succeeded() {
    let mut paths = paths();
    paths.record_unreached_sample(at(5), 1);
    assert!(!paths.reaches_no_worker(at(6)), "a sample of one worker");
    paths.record_unreached_sample(at(5), WORKERS);
    paths.record_answered(&worker(0), at(4));
    assert!(paths.reaches_no_worker(at(6)));
    assert!(!paths.reaches_no_worker(at(5) + FAILURE_MEMORY));
    paths.record_answered(&worker(0), at(5));
    assert!(!paths.reaches_no_worker(at(6)));
}

#[test]
fn no_probe_is_due_while_no_path_fails() {
    let mut paths = paths();
    paths.record_direct(at(1), &worker(0), DirectOutcome::Refused);
    assert_eq!(paths.take_due_probe(at(1_000)), None);
}

#[test]
fn relayed_workers_are_probed_in_turn() {
    let mut paths = paths();
    for number in 0..3 {
        fail_directly_and_relay(&mut paths, at(1), number, DirectOutcome::Failed);
        paths.record_direct(at(1), &worker(5), DirectOutcome::Connected);
    }
    let mut now = at(1);
    let mut probed = BTreeSet::new();
    for _ in 0..3 {
        let Some(Probe::RelayedWorker(worker)) = paths.take_due_probe(now) else {
            panic!("no probe is due");
        };
        probed.insert(worker);
        let nearly_over = now + PROBE_INTERVAL - Duration::from_millis(1);
        assert_eq!(paths.take_due_probe(nearly_over), None);
        now = now + PROBE_INTERVAL;
    }
    assert_eq!(probed.len(), 3);
}

#[test]
fn a_silent_worker_is_probed_once() {
    let mut paths = paths();
    paths.want_probe(&worker(1));
    paths.want_probe(&worker(2));
    let probe = paths.take_due_probe(at(1));
    assert_eq!(probe, Some(Probe::SilentWorker(worker(1))));
    assert_eq!(paths.take_due_probe(at(5_000)), None);
}

#[derive(Debug, Clone)]
enum Step {
    Direct(usize, DirectOutcome),
    Relayed(usize, usize, RelayOutcome),
    Wait(u64),
}

fn any_direct() -> impl Strategy<Value = DirectOutcome> {
    prop_oneof![
        1 => Just(DirectOutcome::Connected),
        3 => Just(DirectOutcome::Refused),
        3 => Just(DirectOutcome::Failed),
        2 => Just(DirectOutcome::Reset),
    ]
}

fn any_relayed() -> impl Strategy<Value = RelayOutcome> {
    prop_oneof![
        3 => Just(RelayOutcome::Connected),
        1 => Just(RelayOutcome::WorkerRefused),
        1 => Just(RelayOutcome::WorkerUnreachable),
        1 => Just(RelayOutcome::RelayPartitioned),
        1 => Just(RelayOutcome::Unavailable),
        1 => Just(RelayOutcome::Unsupported),
    ]
}

fn any_step() -> impl Strategy<Value = Step> {
    prop_oneof![
        (0..WORKERS, any_direct()).prop_map(|(worker, outcome)| Step::Direct(worker, outcome)),
        (0..PEERS, 0..WORKERS, any_relayed())
            .prop_map(|(peer, worker, outcome)| Step::Relayed(peer, worker, outcome)),
        (0..4_000_u64).prop_map(Step::Wait),
    ]
}

proptest! {
    #![proptest_config(config_with_seed(SEED))]

    /// A partition begins only if two workers were not reached since the last direct success and a relay reached one of
    /// them, and a direct success ends it.
    #[test]
    fn a_partition_has_evidence(steps in prop::collection::vec(any_step(), 1..60)) {
        let mut paths = paths();
        let mut failed = HashSet::new();
        let mut reached = HashSet::new();
        let mut now = at(1);
        for step in steps {
            let was_partitioned = paths.is_partitioned();
            match step {
                Step::Wait(millis) => now = now + Duration::from_millis(millis),
                Step::Direct(number, DirectOutcome::Connected) => {
                    paths.record_direct(now, &worker(number), DirectOutcome::Connected);
                    failed.clear();
                    reached.clear();
                    prop_assert!(!paths.is_partitioned());
                    prop_assert!(!paths.may_be_partitioned(now));
                }
                Step::Direct(number, outcome) => {
                    paths.record_direct(now, &worker(number), outcome);
                    failed.insert(number);
                }
                Step::Relayed(peer_number, number, outcome) => {
                    paths.record_relayed(now, &peer(peer_number), &worker(number), outcome);
                    if outcome == RelayOutcome::Connected && failed.contains(&number) {
                        reached.insert(number);
                    }
                }
            }
            if paths.is_partitioned() && !was_partitioned {
                prop_assert!(failed.len() >= 2);
                prop_assert!(!reached.is_empty());
            }
        }
    }

    /// A selected peer was not tried and is in the preferred zone if it has a usable peer.
    #[test]
    fn selected_relays_are_usable(
        draw in any::<u64>(),
        tried in prop::collection::vec(0..PEERS, 0..4),
        paused in prop::collection::vec(0..PEERS, 0..PEERS),
    ) {
        let mut paths = paths();
        let peers = peers();
        for number in &paused {
            let outcome = RelayOutcome::Unavailable;
            paths.record_relayed(at(1), &peers[*number], &worker(0), outcome);
        }
        let is_usable = |number: &usize| !tried.contains(number) && !paused.contains(number);
        match paths.select_relay(at(2), &peers, &tried, draw) {
            None => prop_assert_eq!((0..PEERS).filter(is_usable).count(), 0),
            Some(selected) => {
                prop_assert!(is_usable(&selected));
                let prefers_own = tried.iter().all(|number| number % 2 == 1);
                let is_preferred = |number: &usize| (number % 2 == 0) == prefers_own;
                let has_preferred = (0..PEERS).filter(is_preferred).any(|number| is_usable(&number));
                prop_assert_eq!(is_preferred(&selected), has_preferred);
            }
        }
    }

    /// However many workers fail, a partition is detected with a bounded table.
    #[test]
    fn many_failures_are_bounded(count in MAX_FAILURES..MAX_FAILURES * 4) {
        let mut paths = paths();
        paths.set_known_workers(count);
        for number in 0..count {
            paths.record_direct(at(1), &worker(number), DirectOutcome::Failed);
        }
        paths.record_relayed(at(2), &peer(1), &worker(0), RelayOutcome::Connected);
        prop_assert!(paths.is_partitioned());
    }
}
