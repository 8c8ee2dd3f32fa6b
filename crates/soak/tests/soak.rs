//! A short soak with fixed seeds, and every switch that breaks a mechanism.

use tansyhall_soak::{run_episode, soak, Rule};

const SEED: u64 = 1;
const EPISODES: u64 = 40;
/// Episodes within which a broken mechanism must be found.
const BROKEN_EPISODES: u64 = 400;

#[test]
fn nothing_is_violated() {
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
fn an_episode_repeats_itself() {
    let first = run_episode(SEED, &[], None);
    assert_eq!(first.steps, run_episode(SEED, &[], None).steps);
}

#[test]
fn every_broken_mechanism_is_found() {
    for rule in Rule::ALL {
        let (_, failed) = soak(SEED, Some(rule), |report| report.episodes < BROKEN_EPISODES);
        let failed = failed.unwrap_or_else(|| panic!("nothing found without {}", rule.name()));
        let again = run_episode(failed.seed, &failed.faults, Some(rule));
        assert_eq!(again.violation, failed.violation);
    }
}
