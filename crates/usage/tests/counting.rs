//! Usage counts stay correct when messages are repeated, lost or reordered, and the report of each window is decided
//! once.

use std::collections::BTreeMap;
use std::time::Duration;

use proptest::prelude::*;
use tansyhall_core::{TenantName, Timestamp};
use tansyhall_fixed_cases::config_with_seed;
use tansyhall_usage::{
    next_step, ClockReading, Collection, FleetClock, KnownReports, ReportStep, Source, SourceUsage,
    TenantCounts, UnixMillis, UsageMeter, UsageSender, WindowNumber, WindowTiming,
};

const TIMING: WindowTiming = WindowTiming {
    length: Duration::from_secs(5),
    due_after: Duration::from_secs(10),
};
/// Start of a window, in milliseconds since 1970.
const START: u64 = 1_767_225_600_000;

fn source(gateway: &str, incarnation: u64) -> Source {
    Source {
        gateway: gateway.into(),
        incarnation,
    }
}

fn at(seconds: f64) -> UnixMillis {
    UnixMillis(START + (seconds * 1e3) as u64)
}

fn first_window() -> WindowNumber {
    TIMING.window_of(at(0.0))
}

fn counts(of: &[(&str, u64)]) -> TenantCounts {
    let mut counts = TenantCounts::default();
    for (tenant, requests) in of {
        counts.add(&TenantName::new(*tenant), *requests);
    }
    counts
}

fn usage(source: Source, until: UnixMillis, of: &[(&str, u64)]) -> SourceUsage {
    SourceUsage {
        source,
        counted_until: until,
        windows: BTreeMap::from([(first_window(), counts(of))]),
    }
}

#[test]
fn windows_are_counted_from_1970() {
    assert_eq!(first_window(), WindowNumber(START / 5_000));
    assert_eq!(TIMING.end_of(first_window()), at(5.0));
    assert_eq!(TIMING.due(first_window()), at(15.0));
    assert_eq!(TIMING.oldest_open(at(15.0)), first_window());
    assert_eq!(TIMING.oldest_open(at(15.1)), first_window().next());
}

#[test]
fn a_restarted_gateway_adds_to_its_earlier_counts() {
    let mut collection = Collection::default();
    collection.merge(usage(source("g", 1), at(1.0), &[("a", 3), ("b", 1)]));
    collection.merge(usage(source("g", 2), at(2.0), &[("a", 2)]));
    collection.merge(usage(source("g", 1), at(0.5), &[("a", 2)]));
    let total = collection.total(first_window());
    assert_eq!(total, counts(&[("a", 5), ("b", 1)]));
    assert!(collection.covers(["g"].into_iter(), at(2.0)));
    assert!(!collection.covers(["g"].into_iter(), at(2.1)));
    assert!(!collection.covers(["g", "h"].into_iter(), at(1.0)));
}

#[test]
fn windows_and_sources_before_the_oldest_window_are_removed() {
    let mut collection = Collection::default();
    collection.merge(usage(source("g", 1), at(1.0), &[("a", 3)]));
    let second = first_window().next();
    collection.remove_before(second, at(5.0));
    assert!(collection.is_empty());
}

/// Two incarnations of one collector.
const COLLECTOR: u64 = 0xc011;
const RESTARTED_COLLECTOR: u64 = 0xc012;

/// Returns a sender whose collector has acknowledged a first message with one request.
fn acknowledged_sender(meter: &mut UsageMeter) -> UsageSender {
    let mut sender = UsageSender::default();
    meter.count(&TenantName::new("a"), at(0.1));
    let (sequence, _) = sender.next_message(meter.usage(at(0.2)));
    assert!(sender.acknowledge(sequence, COLLECTOR));
    sender
}

#[test]
fn all_counts_are_sent_again_to_a_restarted_collector() {
    let mut meter = UsageMeter::new(source("g", 1), TIMING);
    let mut sender = acknowledged_sender(&mut meter);
    meter.count(&TenantName::new("b"), at(0.3));
    let (sequence, message) = sender.next_message(meter.usage(at(0.4)));
    assert_eq!(message.windows[&first_window()], counts(&[("b", 1)]));
    assert!(sender.acknowledge(sequence, RESTARTED_COLLECTOR));
    let (sequence, message) = sender.next_message(meter.usage(at(0.5)));
    assert_eq!(message.windows[&first_window()].total(), 2);
    assert!(sender.acknowledge(sequence, RESTARTED_COLLECTOR));
    let (_, message) = sender.next_message(meter.usage(at(0.6)));
    assert!(message.windows.is_empty());
}

#[test]
fn an_acknowledgement_from_the_previous_collector_is_ignored() {
    let mut meter = UsageMeter::new(source("g", 1), TIMING);
    let mut sender = acknowledged_sender(&mut meter);
    let (sequence, _) = sender.next_message(meter.usage(at(0.3)));
    sender.reset_for_new_collector();
    let (first, _) = sender.next_message(meter.usage(at(0.4)));
    assert!(!sender.acknowledge(sequence, COLLECTOR));
    let (_, message) = sender.next_message(meter.usage(at(0.5)));
    assert_eq!(message.windows[&first_window()].total(), 1);
    assert!(sender.acknowledge(first, RESTARTED_COLLECTOR));
}

#[test]
fn only_counts_that_changed_since_the_last_acknowledgement_are_sent() {
    let mut meter = UsageMeter::new(source("g", 1), TIMING);
    let mut sender = UsageSender::default();
    meter.count(&TenantName::new("a"), at(0.1));
    meter.count(&TenantName::new("b"), at(0.2));
    let (first, message) = sender.next_message(meter.usage(at(0.3)));
    assert_eq!(message.windows[&first_window()].total(), 2);
    let (second, message) = sender.next_message(meter.usage(at(0.4)));
    assert_eq!(message.windows[&first_window()].total(), 2);
    sender.acknowledge(first, COLLECTOR);
    sender.acknowledge(second, COLLECTOR);
    meter.count(&TenantName::new("a"), at(0.5));
    let (_, message) = sender.next_message(meter.usage(at(0.6)));
    assert_eq!(message.windows[&first_window()], counts(&[("a", 2)]));
    sender.reset_for_new_collector();
    let (_, message) = sender.next_message(meter.usage(at(0.7)));
    assert_eq!(message.windows[&first_window()].total(), 3);
}

#[test]
fn a_window_is_decided_once_every_gateway_has_counted_past_its_end() {
    let window = first_window();
    let closed = KnownReports {
        closed_through: Some(WindowNumber(window.0 - 1)),
        ..KnownReports::default()
    };
    let step = |seconds, known: &KnownReports| next_step(&TIMING, at(seconds), known);
    assert_eq!(step(4.9, &closed), ReportStep::Wait);
    assert_eq!(step(5.9, &closed), ReportStep::Wait);
    let decide = |may_be_incomplete| ReportStep::Decide {
        window,
        counted_until: at(6.0),
        may_be_incomplete,
    };
    assert_eq!(step(6.0, &closed), decide(false));
    assert_eq!(step(8.0, &closed), decide(true));
    let mut decided = closed.clone();
    decided.decided.insert(window);
    assert_eq!(step(8.0, &decided), ReportStep::Send(window));
    assert_eq!(step(15.0, &decided), ReportStep::Send(window));
    assert!(!matches!(step(15.1, &decided), ReportStep::Send(_)));
    decided.acknowledged.insert(window);
    assert_eq!(step(9.0, &decided), ReportStep::Wait);
    assert!(
        matches!(step(11.0, &decided), ReportStep::Decide { window: next, .. } if next == window.next())
    );
}

fn reading(monotonic_seconds: f64, wall_seconds: f64) -> ClockReading {
    ClockReading {
        monotonic: Timestamp((monotonic_seconds * 1e6) as u64),
        wall: at(wall_seconds),
    }
}

fn error_millis(clock: &mut FleetClock, monotonic_seconds: f64, wall_seconds: f64) -> i64 {
    let now = Timestamp((monotonic_seconds * 1e6) as u64);
    let time = clock.time(now).expect("the clock has a reading");
    time.0 as i64 - at(wall_seconds).0 as i64
}

#[test]
fn a_clock_that_jumps_is_followed_only_at_the_maximum_slew() {
    let mut clock = FleetClock::default();
    clock.record_local_reading(reading(1.0, 101.0));
    for second in 2..12 {
        let jumped = f64::from(second) + 100.0 + 7.0;
        clock.record_local_reading(reading(f64::from(second), jumped));
    }
    assert!(error_millis(&mut clock, 12.0, 112.0).abs() <= 25);
}

#[test]
fn the_median_corrects_a_clock_that_is_wrong_from_the_start() {
    let mut clock = FleetClock::default();
    clock.record_local_reading(reading(1.0, 108.0));
    clock.record_gateway_reading(source("g", 1), reading(1.0, 101.0));
    clock.record_gateway_reading(source("h", 1), reading(1.0, 101.002));
    assert!(error_millis(&mut clock, 2.0, 102.0).abs() <= 2);
    clock.record_collector_reading(reading(2.0, 102.001));
    assert_eq!(error_millis(&mut clock, 3.0, 103.0), 1);
}

const SEED: u64 = 20_261_202;

proptest! {
    #![proptest_config(config_with_seed(SEED))]

    /// Messages are lost, repeated and reordered, acknowledgements are lost and collectors change. Once the last
    /// message has arrived, the collection has counted exactly the requests that started.
    #[test]
    fn collections_agree_with_the_meter(steps in prop::collection::vec(0_u8..8, 1..80)) {
        let mut meter = UsageMeter::new(source("g", 7), TIMING);
        let mut sender = UsageSender::default();
        let mut collection = Collection::default();
        let mut in_transit: Vec<(u64, SourceUsage)> = Vec::new();
        let mut started = 0;
        for step in steps {
            match step {
                0..=2 => {
                    started += 1;
                    meter.count(&TenantName::new(["a", "b", "c"][usize::from(step)]), at(1.0));
                }
                3 => in_transit.push(sender.next_message(meter.usage(at(2.0)))),
                4 => {
                    if let Some((sequence, message)) = in_transit.pop() {
                        collection.merge(message);
                        sender.acknowledge(sequence, COLLECTOR);
                    }
                }
                5 => {
                    if let Some((_, message)) = in_transit.first().cloned() {
                        collection.merge(message);
                    }
                }
                6 => { in_transit.pop(); }
                _ => sender.reset_for_new_collector(),
            }
        }
        let (_, last) = sender.next_message(meter.usage(at(2.0)));
        collection.merge(last);
        prop_assert_eq!(collection.total(first_window()).total(), started);
    }
}
