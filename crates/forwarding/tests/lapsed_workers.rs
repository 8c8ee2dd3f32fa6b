//! Which workers remain usable after the store was unavailable.

mod sample;

use std::time::Duration;

use tansyhall_core::Timestamp;
use tansyhall_forwarding::lapsed_workers::REREGISTRATION_WINDOW;
use tansyhall_forwarding::{LapsedWorkers, Worker, WorkerId, WorkerState};

use sample::ready_worker;

const STORE_RETURNED_AT: Timestamp = Timestamp::from_millis(60_000);

fn worker(id: &str, state: WorkerState) -> Worker {
    Worker {
        state,
        ..ready_worker(id)
    }
}

fn ready(id: &str) -> Worker {
    worker(id, WorkerState::Ready)
}

fn shortly_after() -> Timestamp {
    STORE_RETURNED_AT + Duration::from_millis(300)
}

fn ids(overdue: &[Worker]) -> Vec<&str> {
    overdue.iter().map(|worker| worker.id.as_str()).collect()
}

#[test]
fn workers_whose_entries_expired_with_the_store_unavailable_are_usable_until_back_or_overdue() {
    let mut lapsed = LapsedWorkers::default();
    for id in ["b", "c"] {
        assert!(lapsed.record_missing_entry(shortly_after(), Some(STORE_RETURNED_AT), &ready(id)));
    }
    assert!(!lapsed.is_empty());
    assert_eq!(lapsed.record_returned_entry("b"), Some(WorkerId::from("b")));
    assert_eq!(lapsed.record_returned_entry("a"), None);
    assert!(lapsed
        .take_overdue(shortly_after(), Some(STORE_RETURNED_AT))
        .is_empty());
    assert!(!lapsed.is_empty());
    let overdue = lapsed.take_overdue(
        STORE_RETURNED_AT + REREGISTRATION_WINDOW,
        Some(STORE_RETURNED_AT),
    );
    assert_eq!(ids(&overdue), ["c"]);
    assert!(lapsed.is_empty());
}

#[test]
fn a_worker_that_was_leaving_is_gone_with_its_entry() {
    let mut lapsed = LapsedWorkers::default();
    let leaving = worker("a", WorkerState::Draining);
    assert!(!lapsed.record_missing_entry(shortly_after(), Some(STORE_RETURNED_AT), &leaving));
    assert!(lapsed.is_empty());
}

#[test]
fn an_entry_removed_while_the_store_is_available_is_gone_immediately() {
    let mut lapsed = LapsedWorkers::default();
    assert!(!lapsed.record_missing_entry(shortly_after(), None, &ready("b")));
    let long_before = Some(Timestamp::from_millis(1_000));
    assert!(!lapsed.record_missing_entry(shortly_after(), long_before, &ready("a")));
    assert!(lapsed.is_empty());
}

#[test]
fn a_worker_that_returns_in_another_incarnation_yields_the_earlier_one() {
    let mut lapsed = LapsedWorkers::default();
    let before = Worker {
        id: WorkerId::of_incarnation("a", Some(1)),
        ..ready("a")
    };
    assert!(lapsed.record_missing_entry(shortly_after(), Some(STORE_RETURNED_AT), &before));
    assert_eq!(lapsed.record_returned_entry("a"), Some(before.id));
    assert!(lapsed.is_empty());
}
