//! The estimate of a tracker when reports stop, and the treatment of requests that no report will include.

use tansyhall_core::{Duration, RequestId, Role, Timestamp};
use tansyhall_routing::tracker::REPORT_TTL;
use tansyhall_routing::{EngineTracker, LoadSnapshot, OutputEstimator};

fn busy_report(taken: Timestamp) -> LoadSnapshot {
    LoadSnapshot {
        taken_at: taken,
        decoding: 8.0,
        free_sequences: 56.0,
        ..LoadSnapshot::default()
    }
}

#[test]
fn a_report_is_ignored_after_its_lifetime() {
    let mut tracker = EngineTracker::new(Role::Mixed, 64.0, 1);
    let taken = Timestamp::from_millis(1_000);
    tracker.record_report(busy_report(taken));
    tracker.record_sent(taken, RequestId(1), 100.0);
    tracker.record_first_token(taken, RequestId(1));
    let later = taken + REPORT_TTL;
    assert_eq!(tracker.estimate(later).decoding, 8.0);
    assert!(tracker.has_recent_report(later));
    let after = later + Duration::from_millis(1);
    assert!(!tracker.has_recent_report(after));
    assert_eq!(
        tracker.estimate(after).decoding,
        1.0,
        "only the node's own request counts"
    );
    assert_eq!(tracker.estimate(after).free_sequences, 63.0);
}

#[test]
fn a_refused_request_is_not_assumed_to_be_in_a_report() {
    let mut tracker = EngineTracker::new(Role::Mixed, 64.0, 1);
    let sent = Timestamp::from_millis(1_000);
    tracker.record_sent(sent, RequestId(1), 100.0);
    tracker.record_refused(RequestId(1));
    tracker.record_report(busy_report(Timestamp::from_millis(1_100)));
    let estimate = tracker.estimate(Timestamp::from_millis(1_200));
    assert_eq!(estimate.decoding, 8.0);
    assert_eq!(estimate.free_sequences, 56.0);
}

#[test]
fn ended_requests_of_an_engine_that_never_reports_are_removed() {
    let mut tracker = EngineTracker::new(Role::Mixed, 64.0, 1);
    let mut now = Timestamp::default();
    for id in 0..1_000 {
        now = now + Duration::from_millis(100);
        tracker.record_sent(now, RequestId(id), 10.0);
        tracker.record_finished(now, RequestId(id));
    }
    assert_eq!(tracker.in_flight(), 0);
    // One request every 100 ms within the report lifetime of 10 s and the cleanup interval of 1 s, and the newest.
    let max_tracked = 110 + 1;
    assert!(tracker.tracked_requests() <= max_tracked);
}

#[test]
fn answer_lengths_are_learned_within_the_limits() {
    let mut lengths = OutputEstimator::with_limits(1, 256.0);
    assert_eq!(lengths.expected_tokens(&"counter", 50_000.0), 256.0);
    assert_eq!(lengths.expected_tokens(&"counter", 10.0), 10.0);
    lengths.learn("counter", 400.0);
    lengths.learn("review", 400.0);
    assert_eq!(lengths.expected_tokens(&"counter", 50_000.0), 400.0);
    assert_eq!(
        lengths.expected_tokens(&"review", 50_000.0),
        256.0,
        "a class beyond the limit was learned"
    );
}
