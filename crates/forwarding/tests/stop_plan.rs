//! During a planned stop, a gateway serves the requests that it accepted and refuses those that it might not finish.

use std::time::Duration;

use tansyhall_forwarding::{AnswerTimes, StopPlan};

const GRACE_PERIOD: Duration = Duration::from_secs(8);

/// Guards against accepting a request seconds after SIGTERM: such a request was cut off when the process was killed.
#[test]
fn a_request_long_after_the_signal_is_refused() {
    let plan = StopPlan::new(GRACE_PERIOD);
    assert!(plan.accepts(Duration::from_millis(2_500)));
    assert!(!plan.accepts(Duration::from_millis(3_000)));
    assert!(!plan.accepts(Duration::from_millis(6_800)));
}

#[test]
fn the_process_exits_when_no_request_is_in_progress_or_shortly_before_it_is_killed() {
    let plan = StopPlan::new(GRACE_PERIOD);
    assert!(!plan.may_exit(Duration::from_millis(1_000), 0));
    assert!(plan.may_exit(Duration::from_millis(3_400), 0));
    assert!(!plan.may_exit(Duration::from_millis(3_400), 1));
    assert!(plan.may_exit(Duration::from_millis(7_800), 1));
}

#[test]
fn a_short_grace_period_shortens_the_times_to_accept_and_to_exit() {
    let plan = StopPlan::new(Duration::from_secs(2));
    assert!(!plan.accepts(Duration::from_millis(900)));
    assert!(plan.may_exit(Duration::from_millis(1_750), 3));
}

/// Guards against callers whose connections are closed without an answer when the process exits.
#[test]
fn requests_end_before_the_exit_with_time_to_send_their_answers() {
    for seconds in [1, 2, 8, 600] {
        let plan = StopPlan::new(Duration::from_secs(seconds));
        let end = plan.end_of_requests();
        assert!(!plan.may_exit(end, 1));
        assert!(plan.flush_time_left(end) > Duration::ZERO);
        assert!(plan.may_exit(end + plan.flush_time_left(end), 1));
        assert_eq!(
            plan.flush_time_left(Duration::from_secs(seconds)),
            Duration::ZERO
        );
    }
}

/// Guards against accepting a request that the end of the process will cut off.
#[test]
fn a_request_can_finish_if_its_usual_time_ends_before_requests_are_ended() {
    let plan = StopPlan::new(GRACE_PERIOD);
    let mut times = AnswerTimes::default();
    assert_eq!(times.usual_maximum("route"), None);
    let mut record = |seconds, count| {
        for _ in 0..count {
            times.record("route", Duration::from_secs(seconds));
        }
        times.usual_maximum("route").expect("recorded times")
    };
    record(1, 58);
    assert_eq!(record(8, 6), Duration::from_secs(1), "one of ten takes 8 s");
    let usual = record(8, 1);
    assert_eq!(usual, Duration::from_secs(8));
    assert!(!plan.can_finish(Duration::ZERO, usual));
    assert!(plan.can_finish(Duration::from_secs(2), Duration::from_secs(5)));
    assert!(!plan.can_finish(Duration::from_millis(2_800), Duration::from_secs(5)));
    times.retain(|route| route != "route");
    assert_eq!(times.usual_maximum("route"), None);
}
