//! Workers that send an event again, or begin a stream anew that they should continue.
//!
//! The failure: gateways compared no event's id with the last one delivered, so that callers received events twice and
//! parts of two runs, in answers with a proper end.

use serde_json::{json, Value};
use tansyhall_platform_standin::Behaviour;

use crate::support::{
    send_request, take_up, CallerAnswer, Site, WorkerSpec, NON_RESUMABLE, RESUMABLE,
};

type Ids = &'static [&'static str];

const BEGUN: Ids = &["1", "2"];
const ANEW: Ids = &["1", "2", "3"];
const CONTINUED: Ids = &["3", "4"];
const METRIC: &str = "gateway_misordered_events_total";

fn stream_of(ids: &[&str]) -> String {
    ids.iter()
        .map(|id| format!("id: {id}\ndata: piece {id}\n\n"))
        .collect()
}

/// Starts a site with two workers that stream events with these ids.
async fn start_site(begun: Ids, breaks_off: bool, resumed: Ids) -> Site {
    let scripted = Behaviour::Scripted {
        begun,
        breaks_off,
        resumed,
    };
    let worker: WorkerSpec = ("app", None, scripted);
    Site::start(&[worker; 2], 1).await
}

/// Asserts that an answer has exactly these events, and a proper end or none.
fn assert_stream(answer: &CallerAnswer, ids: &[&str], is_complete: bool) {
    let body = String::from_utf8_lossy(&answer.body);
    assert_eq!(answer.status, 200, "{body}");
    assert_eq!(body, stream_of(ids));
    assert_eq!(answer.is_complete, is_complete);
}

// Guards against an event that nobody sees to be out of order: neither the log nor a metric said so.
#[actix_rt::test]
async fn an_event_whose_id_does_not_rise_is_logged_and_counted() {
    let mut site = start_site(BEGUN, true, &["2", "3"]).await;
    send_request(&site.gateways[0], "r", RESUMABLE, b"x").await;
    let counted = format!("{METRIC}{{service=\"app\"}}");
    assert_eq!(site.gateways[0].metric(&counted).await, Some(1.0));
    let lines = site.gateways.remove(0).stop_and_read();
    let is_event = |line: &&Value| line["event"] == "misordered_event";
    let line = lines.iter().find(is_event).expect("a line of the event");
    assert_eq!(
        (&line["request"], &line["id"], &line["after"]),
        (&json!("r"), &json!("2"), &json!("2"))
    );
}

// Guards against answers that join the parts of two runs because a worker ignores the last event.
#[actix_rt::test]
async fn a_stream_that_a_worker_begins_anew_has_no_proper_end() {
    let site = start_site(BEGUN, true, ANEW).await;
    let answer = send_request(&site.gateways[0], "r", RESUMABLE, b"x").await;
    assert_stream(&answer, BEGUN, false);
    assert_eq!(site.runs_of("r"), 2);
}

// Guards against events that a caller has received in an earlier attempt and gets again.
#[actix_rt::test]
async fn a_stream_that_is_taken_up_and_begun_anew_by_its_workers_is_lost() {
    let site = start_site(BEGUN, false, ANEW).await;
    let gateway = &site.gateways[0];
    send_request(gateway, "first", RESUMABLE, b"x").await;
    let answer = take_up(gateway, "second", RESUMABLE, "first", "2").await;
    assert_eq!((answer.status, site.runs_of("second")), (502, 2));
}

// Guards against events that come twice or out of order within the answer of one worker.
#[actix_rt::test]
async fn a_resumable_stream_whose_worker_sends_an_event_again_is_continued_elsewhere() {
    for begun in [&["1", "2", "2", "3"], &["1", "2", "1", "2"]] {
        let site = start_site(begun, false, CONTINUED).await;
        let answer = send_request(&site.gateways[0], "r", RESUMABLE, b"x").await;
        assert_stream(&answer, &["1", "2", "3", "4"], true);
        assert_eq!(site.runs_of("r"), 2);
    }
}

// Guards against a proper end of streams that cannot be resumed and whose worker sends an event again.
#[actix_rt::test]
async fn a_stream_that_cannot_be_resumed_is_cut_before_an_event_that_comes_again() {
    for begun in [&["1", "2", "2", "3"], &["1", "2", "1", "2"]] {
        let site = start_site(begun, false, CONTINUED).await;
        let answer = send_request(&site.gateways[0], "r", NON_RESUMABLE, b"x").await;
        assert_stream(&answer, BEGUN, false);
        assert_eq!(site.runs_of("r"), 1);
    }
}

// Guards against ending streams whose ids are legal, and streams whose workers need not heed a caller's last event.
#[actix_rt::test]
async fn streams_with_gaps_between_ids_and_with_other_ids_than_numbers_are_complete() {
    for ids in [&["1", "2", "7"], &["b", "a", "c"], &["", "", "3"]] {
        let site = start_site(ids, false, &["9", "12"]).await;
        for path in [RESUMABLE, NON_RESUMABLE] {
            let answer = send_request(&site.gateways[0], path, path, b"x").await;
            assert_stream(&answer, ids, true);
        }
    }
    let site = start_site(BEGUN, true, &["5", "9"]).await;
    let gateway = &site.gateways[0];
    let answer = send_request(gateway, "r", RESUMABLE, b"x").await;
    assert_stream(&answer, &["1", "2", "5", "9"], true);
    let answer = take_up(gateway, "again", NON_RESUMABLE, "r", "9").await;
    assert_stream(&answer, &["5", "9"], true);
}
