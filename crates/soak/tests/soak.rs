//! Runs a short soak with fixed seeds, and checks that the oracle detects every rule that is disabled.

use tansyhall_soak::{run_episode, soak, Rule};

const SEED: u64 = 1;
const EPISODES: u64 = 40;
/// Number of episodes within which the oracle must detect a disabled rule.
const MAX_EPISODES_TO_DETECTION: u64 = 400;

#[test]
fn no_violation_with_all_rules_enabled() {
    let (report, failed) = soak(SEED, None, |report| report.episodes < EPISODES);
    assert!(failed.is_none(), "{failed:?}");
    assert_eq!(report.episodes, EPISODES);
    let activity = report.activity;
    assert!(activity.role_changes > EPISODES, "{activity:?}");
    assert!(activity.slips_run > EPISODES, "{activity:?}");
    assert!(activity.told_not_run > EPISODES, "{activity:?}");
    assert!(activity.configurations > EPISODES, "{activity:?}");
}

#[test]
fn same_seed_and_faults_repeat_the_episode() {
    let first = run_episode(SEED, &[], None);
    assert_eq!(first.steps, run_episode(SEED, &[], None).steps);
}

#[test]
fn oracle_detects_every_disabled_rule() {
    for rule in Rule::ALL {
        let (_, failed) = soak(SEED, Some(rule), |report| {
            report.episodes < MAX_EPISODES_TO_DETECTION
        });
        let failed = failed
            .unwrap_or_else(|| panic!("no violation found with rule {} disabled", rule.name()));
        let repeated = run_episode(failed.seed, &failed.faults, Some(rule));
        assert_eq!(repeated.violation, failed.violation);
    }
}
