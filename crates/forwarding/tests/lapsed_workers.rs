//! Which workers count after the store was away.

use std::time::Duration;

use tansyhall_core::{ServiceName, Timestamp, ZoneName};
use tansyhall_forwarding::lapsed_workers::RETURN_TIME;
use tansyhall_forwarding::{LapsedWorkers, Worker, WorkerId, WorkerKind, WorkerState};

const RETURNED: Timestamp = Timestamp::from_millis(60_000);

fn worker(id: &str, state: WorkerState) -> Worker {
    Worker {
        id: WorkerId::from(id),
        service: ServiceName::new("s"),
        address: "10.0.0.1:80".parse().expect("an address"),
        zone: ZoneName::new("z"),
        slots: 8,
        state,
        role: None,
        kind: WorkerKind::Reserved,
    }
}

fn ready(id: &str) -> Worker {
    worker(id, WorkerState::Ready)
}

fn ids(workers: &[Worker]) -> Vec<&str> {
    workers.iter().map(|worker| worker.id.as_str()).collect()
}

fn shortly_after() -> Timestamp {
    RETURNED + Duration::from_millis(300)
}

#[test]
fn entries_that_ran_out_while_the_store_was_away_count_until_they_are_back_or_overdue() {
    let mut lapsed = LapsedWorkers::default();
    lapsed.counted(RETURNED, None, vec![ready("a"), ready("b"), ready("c")]);
    let counted = lapsed.counted(shortly_after(), Some(RETURNED), vec![ready("a")]);
    assert_eq!(ids(&counted), ["a", "b", "c"]);
    assert!(lapsed.keeps_some());
    let listed = vec![ready("a"), ready("b")];
    let counted = lapsed.counted(shortly_after(), Some(RETURNED), listed.clone());
    assert_eq!(ids(&counted), ["a", "b", "c"]);
    let counted = lapsed.counted(RETURNED + RETURN_TIME, Some(RETURNED), listed);
    assert_eq!(ids(&counted), ["a", "b"]);
    assert!(!lapsed.keeps_some());
}

#[test]
fn a_worker_that_was_leaving_or_is_changed_counts_as_the_store_says() {
    let mut lapsed = LapsedWorkers::default();
    let leaving = worker("a", WorkerState::Draining);
    lapsed.counted(RETURNED, None, vec![leaving, ready("b")]);
    let changed = worker("b", WorkerState::Draining);
    let counted = lapsed.counted(shortly_after(), Some(RETURNED), vec![changed.clone()]);
    assert_eq!(counted, [changed]);
}

#[test]
fn an_entry_that_goes_while_the_store_answers_is_gone_at_once() {
    let mut lapsed = LapsedWorkers::default();
    lapsed.counted(RETURNED, None, vec![ready("a"), ready("b")]);
    let counted = lapsed.counted(shortly_after(), None, vec![ready("a")]);
    assert_eq!(ids(&counted), ["a"]);
    let long_before = Some(Timestamp::from_millis(1_000));
    let counted = lapsed.counted(shortly_after(), long_before, Vec::new());
    assert!(counted.is_empty());
}
