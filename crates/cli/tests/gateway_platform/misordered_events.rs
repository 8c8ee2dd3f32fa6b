//! Workers that send an event again, or begin a stream anew that they should continue.

use serde_json::{json, Value};
use tansyhall_platform_standin::Behaviour;

use crate::support::{
    send_request, take_up, CallerAnswer, Site, WorkerSpec, NON_RESUMABLE, RESUMABLE,
};

type Ids = &'static [&'static str];

const BEGUN: Ids = &["1", "2"];
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
