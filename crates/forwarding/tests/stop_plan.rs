//! A planned stop serves what it accepted and refuses what it might not finish.

use std::time::Duration;

use tansyhall_forwarding::StopPlan;

const PLAN_GRACE: Duration = Duration::from_secs(8);

/// The fault: a request that was taken in seconds after SIGTERM was cut when its process was killed.
#[test]
fn a_request_long_after_the_signal_is_refused() {
    let plan = StopPlan::new(PLAN_GRACE);
    assert!(plan.accepts(Duration::from_millis(2_500)));
    assert!(!plan.accepts(Duration::from_millis(3_000)));
    assert!(!plan.accepts(Duration::from_millis(6_800)));
}

#[test]
fn the_process_ends_when_nothing_is_under_way_or_at_the_last_moment() {
    let plan = StopPlan::new(PLAN_GRACE);
    assert!(!plan.may_end(Duration::from_millis(1_000), 0));
    assert!(plan.may_end(Duration::from_millis(3_400), 0));
    assert!(!plan.may_end(Duration::from_millis(3_400), 1));
    assert!(plan.may_end(Duration::from_millis(7_800), 1));
}

#[test]
fn a_short_grace_shortens_both() {
    let plan = StopPlan::new(Duration::from_secs(2));
    assert!(!plan.accepts(Duration::from_millis(900)));
    assert!(plan.may_end(Duration::from_millis(1_750), 3));
}
