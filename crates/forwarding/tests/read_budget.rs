//! How often gateways read the store at their callers' requests.

use std::time::Duration;

use tansyhall_core::Timestamp;
use tansyhall_forwarding::ReadBudget;

const START: Timestamp = Timestamp(60_000_000);
const MINUTE: Duration = Duration::from_secs(60);

/// Returns how many calls a gateway makes in a minute if it always has one to make.
fn calls_in_a_minute(gateways: usize) -> u64 {
    let mut budget = ReadBudget::default();
    let mut now = START;
    let mut calls = 0;
    loop {
        now = now + budget.wait(now, gateways);
        if now.since(START) >= MINUTE {
            return calls;
        }
        budget.record_calls(now, gateways, 1);
        calls += 1;
    }
}

/// Guards against callers who name unknown streams and thereby use up the reads of the store.
#[test]
fn a_fleet_makes_a_hundred_calls_a_second_whatever_its_size() {
    for gateways in [1, 7, 73, 986] {
        let bursts = 20 * gateways as u64;
        let fleet_calls = calls_in_a_minute(gateways) * gateways as u64;
        assert!(fleet_calls <= 6_000 + bursts, "{gateways}: {fleet_calls}");
        assert!(
            fleet_calls + gateways as u64 >= 6_000,
            "{gateways}: {fleet_calls}"
        );
    }
}

#[test]
fn a_gateway_may_make_several_calls_at_once() {
    let mut budget = ReadBudget::default();
    for _ in 0..20 {
        assert_eq!(budget.wait(START, 986), Duration::ZERO);
        budget.record_calls(START, 986, 1);
    }
    assert!(budget.wait(START, 986) > Duration::ZERO);
    let later = START + Duration::from_secs(200);
    assert_eq!(budget.wait(later, 986), Duration::ZERO);
}

/// Returns how many of the requests that arrive at these times share a read that begins within the time for which they
/// wait, if each read takes three calls.
fn requests_with_a_read(gateways: usize, arrivals: &[Duration]) -> usize {
    const CALLS: usize = 3;
    const READ_TIME: Duration = Duration::from_millis(70);
    const PATIENCE: Duration = Duration::from_millis(500);
    let mut budget = ReadBudget::default();
    let mut now = START;
    let mut served = 0;
    let mut arrivals = arrivals.iter().map(|arrival| START + *arrival).peekable();
    while let Some(first) = arrivals.next() {
        now = now.max(first);
        now = now + budget.gathering(now, gateways);
        let mut waiting = vec![first];
        while let Some(arrival) = arrivals.next_if(|arrival| *arrival <= now) {
            waiting.push(arrival);
        }
        waiting.retain(|arrival| now.since(*arrival) <= PATIENCE);
        if waiting.is_empty() {
            continue;
        }
        budget.record_calls(now, gateways, CALLS);
        served += waiting.len();
        now = now + READ_TIME;
    }
    served
}

/// Guards against refusing streams that are taken up after the loss of many gateways, because the first of them have used up
/// the reads that a gateway of a large fleet may make.
#[test]
fn streams_of_many_lost_gateways_share_the_reads_of_a_gateway() {
    let arrivals: Vec<Duration> = (0..22)
        .map(|number| Duration::from_millis(70) * number)
        .collect();
    for gateways in [3, 73, 395, 986] {
        let served = requests_with_a_read(gateways, &arrivals);
        assert!(served >= 20, "{gateways}: {served}");
    }
}
