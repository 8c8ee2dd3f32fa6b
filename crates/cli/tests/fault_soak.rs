//! A short episode of the fault soak: gateway processes, faulty workers, and checks of the rules at the end.

use std::time::Duration;

use tansyhall_fault_soak::{run_episode, EpisodePlan, Focus};

/// A seed whose workers send answers twice.
const SEED: u64 = 1;
/// How long faults are injected.
const DURATION: Duration = Duration::from_secs(10);
/// Length of a partition after which requests at the gateway are judged, in milliseconds.
const JUDGED_PARTITION_MS: u64 = 3_500;
/// Minimum number of complete successful answers that callers must receive.
const MIN_SUCCESSES: usize = 300;

/// A seed that partitions gateways from all workers for long enough to be judged.
const PARTITIONS_SEED: u64 = 3;

#[actix_rt::test]
async fn gateways_recover_from_partitions_and_silent_workers_lose_no_answer() {
    let plan = EpisodePlan {
        min_successes: MIN_SUCCESSES,
        crashing_requests: 0,
        focus: Focus::PartitionsAndSilences,
        ..EpisodePlan::new(PARTITIONS_SEED, DURATION)
    };
    let episode = run_episode(plan)
        .await
        .expect("episode should run to its end");
    assert!(episode.successes() >= MIN_SUCCESSES);
    let partitions = &episode.evidence.partitions;
    assert!(
        partitions
            .iter()
            .any(|period| period.to_ms - period.from_ms > JUDGED_PARTITION_MS),
        "no partition lasted long enough: {partitions:?}"
    );
    assert!(
        !episode.evidence.silences.is_empty(),
        "no worker was silent"
    );
    let violations = serde_json::to_string_pretty(&episode.violations).expect("violations as JSON");
    assert!(episode.violations.is_empty(), "{violations}");
}

/// A seed in which the store ignores gateways and workers depart.
const DEPARTURES_SEED: u64 = 5;
/// How long workers depart.
const DEPARTURES_DURATION: Duration = Duration::from_secs(20);

/// Guards against gateways that use workers after their departure because the store ignores them.
#[actix_rt::test]
async fn no_request_reaches_a_departed_worker_while_the_store_ignores_some_gateways() {
    let plan = EpisodePlan {
        min_successes: MIN_SUCCESSES,
        crashing_requests: 0,
        focus: Focus::Departures,
        ..EpisodePlan::new(DEPARTURES_SEED, DEPARTURES_DURATION)
    };
    let episode = run_episode(plan)
        .await
        .expect("episode should run to its end");
    assert!(episode.successes() >= MIN_SUCCESSES);
    assert!(
        !episode.evidence.departures.is_empty(),
        "no worker departed"
    );
    let violations = serde_json::to_string_pretty(&episode.violations).expect("violations as JSON");
    assert!(episode.violations.is_empty(), "{violations}");
}

#[actix_rt::test]
async fn a_short_soak_violates_no_rule() {
    let plan = EpisodePlan {
        min_successes: MIN_SUCCESSES,
        ..EpisodePlan::new(SEED, DURATION)
    };
    let episode = run_episode(plan)
        .await
        .expect("episode should run to its end");
    assert!(episode.successes() >= MIN_SUCCESSES);
    assert!(
        !episode.evidence.readings.is_empty(),
        "no prefill was done by a separate worker"
    );
    let stutters = ["worker StutterLater", "worker StutterInPlace"];
    assert!(stutters
        .iter()
        .any(|name| episode.faults.contains_key(*name)));
    let violations = serde_json::to_string_pretty(&episode.violations).expect("violations as JSON");
    assert!(episode.violations.is_empty(), "{violations}");
}
