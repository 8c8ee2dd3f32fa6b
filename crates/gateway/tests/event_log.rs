//! The event log: lines are limited in number and rate, half of the queue is reserved for important lines, and recording
//! never blocks if nobody reads.

use std::sync::Arc;

use serde_json::Value;
use tansyhall_gateway::events::{Event, EventLog, Priority};

fn event(request: &str) -> Event<'_> {
    Event::Refused {
        request,
        reason: "no_route",
        configuration: 7,
        store_age_ms: 12,
    }
}

fn take_parsed(log: &EventLog) -> Vec<Value> {
    let lines = log.take();
    let parse = |line: &String| serde_json::from_str(line).expect("one JSON object a line");
    lines.iter().map(parse).collect()
}

#[test]
fn a_line_carries_time_node_event_and_its_fields() {
    let log = EventLog::new("gateway-1", 16, 100);
    log.record(Priority::Important, &event("r"));
    let lines = take_parsed(&log);
    assert_eq!(lines[0]["node"], "gateway-1");
    assert_eq!(lines[0]["event"], "refused");
    assert_eq!(lines[0]["request"], "r");
    assert_eq!(lines[0]["configuration"], 7);
    assert!(lines[0]["at_ms"].is_u64());
}

#[test]
fn without_a_reader_recording_does_not_block_and_the_queue_stays_bounded() {
    let log = EventLog::new("gateway-1", 100, u32::MAX);
    for _ in 0..10_000 {
        log.record(Priority::Routine, &event("routine"));
    }
    for _ in 0..10_000 {
        log.record(Priority::Important, &event("important"));
    }
    let lines = take_parsed(&log);
    assert_eq!(lines.len(), 101);
    let count = |request: &str| {
        lines
            .iter()
            .filter(|line| line["request"] == request)
            .count()
    };
    assert_eq!(count("routine"), 50);
    assert_eq!(count("important"), 50);
    assert_eq!(lines[100]["event"], "lines_dropped");
    assert_eq!(lines[100]["count"], 19_900);
}

#[test]
fn routine_lines_can_be_switched_off_while_running() {
    let log = EventLog::new("gateway-1", 100, u32::MAX);
    log.set_routine_per_second(0);
    log.record(Priority::Routine, &event("routine"));
    log.record(Priority::Important, &event("important"));
    let lines = take_parsed(&log);
    assert_eq!(lines[0]["request"], "important");
    assert_eq!(lines[1]["count"], 1);
}

/// A reader that drains the queue only when it is full still gets every important line.
#[test]
fn a_slow_reader_gets_every_line_that_fits_in_the_queue() {
    let log = Arc::new(EventLog::new("gateway-1", 64, 0));
    let mut read = 0;
    for _ in 0..20 {
        for _ in 0..64 {
            log.record(Priority::Important, &event("r"));
        }
        read += take_parsed(&log).len();
    }
    assert_eq!(read, 20 * 64);
}
