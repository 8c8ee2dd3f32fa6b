//! Lines are bounded in number and rate, failures keep room of their own, and nothing waits for a
//! reader.

use std::sync::Arc;

use serde_json::Value;
use tansyhall_gateway::events::{Event, EventLog, Weight};

fn event(request: &str) -> Event<'_> {
    Event::Refused {
        request,
        reason: "no_route",
        configuration: 7,
        store_age_ms: 12,
    }
}

fn parsed(log: &EventLog) -> Vec<Value> {
    let lines = log.take();
    let parse = |line: &String| serde_json::from_str(line).expect("one JSON object a line");
    lines.iter().map(parse).collect()
}

#[test]
fn a_line_carries_time_node_event_and_its_fields() {
    let log = EventLog::new("gateway-1", 16, 100);
    log.record(Weight::Important, &event("r"));
    let lines = parsed(&log);
    assert_eq!(lines[0]["node"], "gateway-1");
    assert_eq!(lines[0]["event"], "refused");
    assert_eq!(lines[0]["request"], "r");
    assert_eq!(lines[0]["configuration"], 7);
    assert!(lines[0]["at_ms"].is_u64());
}

#[test]
fn nobody_reads_and_nothing_blocks_or_grows() {
    let log = EventLog::new("gateway-1", 100, u32::MAX);
    for _ in 0..10_000 {
        log.record(Weight::Routine, &event("routine"));
    }
    for _ in 0..10_000 {
        log.record(Weight::Important, &event("important"));
    }
    let lines = parsed(&log);
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
    log.record(Weight::Routine, &event("routine"));
    log.record(Weight::Important, &event("important"));
    let lines = parsed(&log);
    assert_eq!(lines[0]["request"], "important");
    assert_eq!(lines[1]["count"], 1);
}

/// A reader that takes lines now and then gets every important one while there is room.
#[test]
fn a_slow_reader_loses_nothing_that_fits() {
    let log = Arc::new(EventLog::new("gateway-1", 64, 0));
    let mut read = 0;
    for _ in 0..20 {
        for _ in 0..64 {
            log.record(Weight::Important, &event("r"));
        }
        read += parsed(&log).len();
    }
    assert_eq!(read, 20 * 64);
}
