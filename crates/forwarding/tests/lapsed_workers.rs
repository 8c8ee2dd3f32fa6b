//! Which workers count after the store was away.

mod sample;

use std::time::Duration;

use tansyhall_core::Timestamp;
use tansyhall_forwarding::lapsed_workers::RETURN_TIME;
use tansyhall_forwarding::{LapsedWorkers, Worker, WorkerId, WorkerState};

use sample::ready_worker;

const RETURNED: Timestamp = Timestamp::from_millis(60_000);

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
    RETURNED + Duration::from_millis(300)
}

fn ids(overdue: &[WorkerId]) -> Vec<&str> {
    overdue.iter().map(WorkerId::as_str).collect()
}

#[test]
fn entries_that_ran_out_while_the_store_was_away_count_until_they_are_back_or_overdue() {
    let mut lapsed = LapsedWorkers::default();
    for id in ["b", "c"] {
        assert!(lapsed.entry_gone(shortly_after(), Some(RETURNED), &ready(id)));
    }
    assert!(lapsed.keeps_some());
    assert_eq!(lapsed.entry_back("b"), Some(WorkerId::from("b")));
    assert_eq!(lapsed.entry_back("a"), None);
    assert!(lapsed
        .take_overdue(shortly_after(), Some(RETURNED))
        .is_empty());
    assert!(lapsed.keeps_some());
    let overdue = lapsed.take_overdue(RETURNED + RETURN_TIME, Some(RETURNED));
    assert_eq!(ids(&overdue), ["c"]);
    assert!(!lapsed.keeps_some());
}

#[test]
fn a_worker_that_was_leaving_counts_as_the_store_says() {
    let mut lapsed = LapsedWorkers::default();
    let leaving = worker("a", WorkerState::Draining);
    assert!(!lapsed.entry_gone(shortly_after(), Some(RETURNED), &leaving));
    assert!(!lapsed.keeps_some());
}

#[test]
fn an_entry_that_goes_while_the_store_answers_is_gone_at_once() {
    let mut lapsed = LapsedWorkers::default();
    assert!(!lapsed.entry_gone(shortly_after(), None, &ready("b")));
    let long_before = Some(Timestamp::from_millis(1_000));
    assert!(!lapsed.entry_gone(shortly_after(), long_before, &ready("a")));
    assert!(!lapsed.keeps_some());
}

#[test]
fn a_worker_that_is_back_in_another_life_is_named_with_the_one_that_counted() {
    let mut lapsed = LapsedWorkers::default();
    let before = Worker {
        id: WorkerId::of_life("a", Some(1)),
        ..ready("a")
    };
    assert!(lapsed.entry_gone(shortly_after(), Some(RETURNED), &before));
    assert_eq!(lapsed.entry_back("a"), Some(before.id));
    assert!(!lapsed.keeps_some());
}
