//! A short run of the fault soak: gateways as processes, workers that misbehave, and judges.

use std::time::Duration;

use tansyhall_fault_soak::{run_episode, EpisodePlan};

/// A seed whose workers stutter.
const SEED: u64 = 1;
/// How long faults happen.
const DURATION: Duration = Duration::from_secs(10);
/// Whole successes that callers must have had.
const LEAST_SUCCESSES: usize = 300;

#[actix_rt::test]
async fn a_short_soak_breaks_no_rule() {
    let plan = EpisodePlan {
        least_successes: LEAST_SUCCESSES,
        ..EpisodePlan::new(SEED, DURATION)
    };
    let episode = run_episode(plan).await.expect("an episode");
    assert!(episode.successes() >= LEAST_SUCCESSES);
    assert!(
        !episode.evidence.readings.is_empty(),
        "nothing was read apart"
    );
    let stutters = ["worker StutterLater", "worker StutterInPlace"];
    assert!(stutters
        .iter()
        .any(|name| episode.faults.contains_key(*name)));
    let found = serde_json::to_string_pretty(&episode.violations).expect("text");
    assert!(episode.violations.is_empty(), "{found}");
}
