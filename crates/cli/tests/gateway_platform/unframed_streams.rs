//! Streams that have neither a length nor chunks and end with their worker's connection.
//!
//! The failure: workers crashed in the middle of such streams, and their connections closed without a reset. The gateway
//! took the end of the connection for the end of the stream, also inside an event, and gave callers a proper end.

use tansyhall_platform_standin::{Behaviour, Run};

use crate::support::{send_request, CallerAnswer, Site, NON_RESUMABLE, REPEATABLE, RESUMABLE};

const WHOLE: Behaviour = Behaviour::Unframed {
    events: 3,
    ends_inside_event: false,
};
const ENDS_INSIDE_THIRD_EVENT: Behaviour = Behaviour::Unframed {
    events: 2,
    ends_inside_event: true,
};
const ENDS_INSIDE_FIRST_EVENT: Behaviour = Behaviour::Unframed {
    events: 0,
    ends_inside_event: true,
};
const ENDS_BEFORE_FIRST_EVENT: Behaviour = Behaviour::Unframed {
    events: 0,
    ends_inside_event: false,
};
/// Maximum number of requests until one has been run by both workers in the wanted order.
const MAX_REQUESTS: usize = 50;
const TWO_EVENTS: &[u8] = b"id: 1\ndata: piece 1\n\nid: 2\ndata: piece 2\n\n";
const THREE_EVENTS: &[u8] =
    b"id: 1\ndata: piece 1\n\nid: 2\ndata: piece 2\n\nid: 3\ndata: piece 3\n\n";

async fn answer_of(behaviour: Behaviour, path: &str) -> CallerAnswer {
    let site = Site::start(&[("app", None, behaviour)], 1).await;
    send_request(&site.gateways[0], "unframed-1", path, b"x").await
}

/// Returns the answer to a request that a worker with the first behaviour has run, and after it one with the second
/// behaviour, which got this last event.
async fn answer_of_both(
    (first, second): (Behaviour, Behaviour),
    last_event: Option<&str>,
) -> CallerAnswer {
    let workers = [("app", None, first), ("app", None, second)];
    let site = Site::start(&workers, 1).await;
    for number in 0..MAX_REQUESTS {
        // The gateway may prefer one of the workers, so they exchange their behaviours.
        let (leader, follower) = (number % 2, (number + 1) % 2);
        site.workers[leader].worker.set_behaviour(first);
        site.workers[follower].worker.set_behaviour(second);
        let id = format!("unframed-{number}");
        let answer = send_request(&site.gateways[0], &id, RESUMABLE, b"x").await;
        let has_run = |index: usize, last_event: Option<&str>| {
            let runs = site.workers[index].worker.runs();
            let is_this =
                |run: &Run| run.request_id == id && run.last_event.as_deref() == last_event;
            runs.iter().any(is_this)
        };
        if has_run(leader, None) && has_run(follower, last_event) {
            return answer;
        }
    }
    panic!("no request was run by both workers in this order");
}

#[actix_rt::test]
async fn a_stream_that_cannot_be_resumed_and_ends_inside_an_event_has_no_proper_end() {
    let answer = answer_of(ENDS_INSIDE_THIRD_EVENT, NON_RESUMABLE).await;
    assert_eq!((answer.status, answer.is_complete), (200, false));
    assert!(answer.body.starts_with(TWO_EVENTS));
}

#[actix_rt::test]
async fn a_stream_that_cannot_be_resumed_and_ends_inside_its_first_event_has_no_proper_end() {
    let answer = answer_of(ENDS_INSIDE_FIRST_EVENT, NON_RESUMABLE).await;
    assert!(answer.status != 200 || !answer.is_complete, "{answer:?}");
}

#[actix_rt::test]
async fn a_stream_that_cannot_be_resumed_and_ends_before_its_first_event_is_lost() {
    let answer = answer_of(ENDS_BEFORE_FIRST_EVENT, NON_RESUMABLE).await;
    assert_eq!(answer.status, 502);
}

#[actix_rt::test]
async fn a_resumable_stream_that_ends_inside_an_event_is_continued_elsewhere() {
    let answer = answer_of_both((ENDS_INSIDE_THIRD_EVENT, WHOLE), Some("2")).await;
    assert_eq!((answer.status, answer.is_complete), (200, true));
    assert_eq!(answer.body, THREE_EVENTS);
}

#[actix_rt::test]
async fn a_resumable_stream_that_ends_before_its_first_event_runs_elsewhere() {
    let answer = answer_of_both((ENDS_BEFORE_FIRST_EVENT, WHOLE), None).await;
    assert_eq!((answer.status, answer.is_complete), (200, true));
    assert_eq!(answer.body, THREE_EVENTS);
}

#[actix_rt::test]
async fn a_continued_stream_that_ends_before_its_next_event_has_no_proper_end() {
    let answer = answer_of_both(
        (ENDS_INSIDE_THIRD_EVENT, ENDS_BEFORE_FIRST_EVENT),
        Some("2"),
    )
    .await;
    assert!(answer.status != 200 || !answer.is_complete, "{answer:?}");
}

#[actix_rt::test]
async fn streams_that_end_after_an_event_are_complete() {
    for path in [NON_RESUMABLE, RESUMABLE] {
        let answer = answer_of(WHOLE, path).await;
        assert_eq!((answer.status, answer.is_complete), (200, true));
        assert_eq!(answer.body, THREE_EVENTS);
    }
}

#[actix_rt::test]
async fn an_event_stream_that_ends_inside_an_event_is_incomplete_on_any_route() {
    let answer = answer_of(ENDS_INSIDE_THIRD_EVENT, REPEATABLE).await;
    assert_eq!(answer.status, 502);
}

#[actix_rt::test]
async fn a_whole_event_stream_is_complete_on_any_route() {
    let answer = answer_of(WHOLE, REPEATABLE).await;
    assert_eq!((answer.status, answer.is_complete), (200, true));
    assert_eq!(answer.body, THREE_EVENTS);
}
