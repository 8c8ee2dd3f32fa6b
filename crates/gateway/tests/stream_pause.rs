//! The longest pause of a stream, as measured by a gateway.

use std::time::Duration;

use tansyhall_core::Timestamp;
use tansyhall_gateway::stream_pause::StreamPause;

const fn at(millis: u64) -> Timestamp {
    Timestamp::from_millis(millis)
}

/// Returns the longest pause of a stream whose events are received and delivered at these milliseconds.
fn longest(events: &[(u64, u64)]) -> Option<Duration> {
    let mut pause = StreamPause::default();
    for (received, delivered) in events {
        pause.record_received(at(*received));
        pause.record_delivered(at(*delivered));
    }
    pause.longest()
}

/// Guards against counting the wait for the first event as a pause: it is part of the latency.
#[test]
fn a_stream_of_one_event_has_no_pause() {
    assert_eq!(longest(&[]), None);
    assert_eq!(longest(&[(900, 900)]), None);
}

/// Guards against reporting the last pause, or a mean, instead of the longest one.
#[test]
fn the_longest_pause_between_two_events_counts() {
    let events = [(500, 500), (600, 600), (850, 850), (900, 900)];
    assert_eq!(longest(&events), Some(Duration::from_millis(250)));
}

/// Guards against blaming a worker for a caller that stops reading.
#[test]
fn time_in_which_the_caller_does_not_read_is_no_pause() {
    let events = [(500, 500), (600, 1_600), (1_620, 1_620)];
    assert_eq!(longest(&events), Some(Duration::from_millis(100)));
}

/// Guards against events that arrive together and count as a pause of zero.
#[test]
fn events_received_together_make_no_pause() {
    assert_eq!(longest(&[(500, 500), (500, 500)]), None);
}
