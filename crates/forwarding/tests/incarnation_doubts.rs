//! Doubts about the incarnations of workers whose connections were lost.

use tansyhall_forwarding::{Doubt, IncarnationDoubts, WorkerId};

const START: u64 = 1_700_000_000_000;

fn worker() -> WorkerId {
    WorkerId::of_incarnation("steady-1", Some(START))
}

/// Guards against trusting a worker after a loss that came after the question.
#[test]
fn an_answer_settles_no_later_loss() {
    let mut doubts = IncarnationDoubts::default();
    assert_eq!(doubts.doubt(&worker()), None);
    doubts.record_loss(&worker());
    let first = doubts.doubt(&worker()).expect("a doubt");
    doubts.record_loss(&worker());
    doubts.settle(&worker(), first, Some(START));
    let second = doubts
        .doubt(&worker())
        .expect("a doubt about the later loss");
    doubts.settle(&worker(), second, Some(START));
    assert_eq!(doubts.doubt(&worker()), None);
}

/// Guards against trusting the entry of an incarnation that has ended.
#[test]
fn an_incarnation_that_another_one_has_followed_stays_ended() {
    let mut doubts = IncarnationDoubts::default();
    doubts.record_loss(&worker());
    let doubt = doubts.doubt(&worker()).expect("a doubt");
    doubts.settle(&worker(), doubt, Some(START + 1));
    doubts.record_loss(&worker());
    assert_eq!(doubts.doubt(&worker()), Some(Doubt::Ended));
    let next = WorkerId::of_incarnation("steady-1", Some(START + 1));
    assert_eq!(doubts.doubt(&next), None);
    doubts.prune(|known| *known == next);
    assert_eq!(doubts.doubt(&worker()), None);
}

/// Guards against asking, before each stream, workers that do not say when they have started.
#[test]
fn a_worker_that_does_not_say_its_start_is_asked_once_a_loss() {
    let mut doubts = IncarnationDoubts::default();
    doubts.record_loss(&worker());
    let doubt = doubts.doubt(&worker()).expect("a doubt");
    doubts.settle(&worker(), doubt, None);
    assert_eq!(doubts.doubt(&worker()), None);
    let without_start = WorkerId::from("i-1");
    doubts.record_loss(&without_start);
    assert_eq!(doubts.doubt(&without_start), None);
}
