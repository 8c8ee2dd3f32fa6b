//! Workers that send nothing for a second or so and then go on: no answer is lost because of the silence, whether
//! another worker can run the request or not.

use futures_util::future::join;
use tansyhall_platform_standin::{Behaviour, Run};
use tansyhall_testing::{eventually, Link};

use crate::support::{
    send_request, CallerAnswer, Site, AT_MOST_ONCE, NON_RESUMABLE, REPEATABLE, RESUMABLE,
    SHORT_OBJECTIVE,
};

const ECHO: Behaviour = Behaviour::Serve { events: 0 };
/// Number of events of each stream.
const EVENTS: u32 = 5;
/// Longer than a gateway waits for a silent worker before it asks another one.
const PAUSE_MS: u64 = 1_300;
/// Longer than the deadline of callers.
const ENDLESS_PAUSE_MS: u64 = 60_000;
/// Maximum number of requests that a test sends in order to spend the retry budget.
const MAX_SPENDING_REQUESTS: usize = 400;

/// A stream with a pause after this event.
const fn pausing_after(event: u32) -> Behaviour {
    Behaviour::Pausing {
        events: EVENTS,
        after: event,
        pause_ms: PAUSE_MS,
    }
}

fn expected_stream() -> String {
    (1..=EVENTS)
        .map(|n| format!("id: {n}\ndata: piece {n}\n\n"))
        .collect()
}

fn assert_stream_is_complete(answer: &CallerAnswer) {
    let body = String::from_utf8_lossy(&answer.body);
    assert_eq!(answer.status, 200, "{body}");
    assert_eq!(body, expected_stream());
    assert!(answer.is_complete);
}

fn set_behaviours(site: &Site, behaviours: [Behaviour; 2]) {
    for (worker, behaviour) in site.workers.iter().zip(behaviours) {
        worker.worker.set_behaviour(behaviour);
    }
}

/// Returns the index of the worker that runs a request.
async fn wait_for_runner(site: &Site, id: &str) -> usize {
    eventually("the request runs", || async {
        let workers = site.workers.iter();
        let runs = workers.map(|worker| worker.worker.runs());
        let mut runs = runs.enumerate();
        let runs_request = |run: &Run| run.request_id == id;
        let running = runs.find(|(_, runs)| runs.iter().any(runs_request));
        running.map(|(index, _)| index)
    })
    .await
}

/// Sends a request. As soon as it runs at one of two workers, that worker's behaviour for further requests stays and the
/// other one gets this behaviour.
async fn send_and_change_the_other(
    site: &Site,
    id: &str,
    path: &str,
    other: Behaviour,
) -> CallerAnswer {
    let change = async {
        let runner = wait_for_runner(site, id).await;
        site.workers[1 - runner].worker.set_behaviour(other);
    };
    join(send_request(&site.gateways[0], id, path, b"x"), change)
        .await
        .0
}

/// Sends failing requests until the retry budget allows no further send.
async fn spend_retry_budget(site: &Site) {
    set_behaviours(site, [Behaviour::Fail; 2]);
    for number in 0..MAX_SPENDING_REQUESTS {
        let id = format!("failing-{number}");
        send_request(&site.gateways[0], &id, REPEATABLE, b"x").await;
        if site.runs_of(&id) == 1 {
            return;
        }
    }
    panic!("the retry budget has not been spent");
}

// Guards against ending a resumable stream because of a pause of its only worker.
#[actix_rt::test]
async fn a_stream_continues_after_a_pause_of_the_only_worker() {
    let site = Site::start(&[("app", None, ECHO)], 1).await;
    for event in [0, 2] {
        site.workers[0].worker.set_behaviour(pausing_after(event));
        let id = format!("after-{event}");
        let answer = send_request(&site.gateways[0], &id, RESUMABLE, b"x").await;
        assert_stream_is_complete(&answer);
        assert_eq!(site.runs_of(&id), 1);
    }
}

// Guards against ending a stream because its worker pauses and the configuration changes in the same second.
#[actix_rt::test]
async fn a_stream_continues_after_a_pause_beside_a_change_of_the_configuration() {
    let site = Site::start(&[("app", None, pausing_after(2))], 1).await;
    let change = async {
        site.wait_for_runs("r", 1).await;
        site.wait_until_in_force(site.configure_next()).await;
    };
    let request = send_request(&site.gateways[0], "r", RESUMABLE, b"x");
    let (answer, ()) = join(request, change).await;
    assert_stream_is_complete(&answer);
}

// Guards against ending a paused stream because the retry budget allows no resumption elsewhere.
#[actix_rt::test]
async fn a_stream_continues_after_a_pause_although_the_retry_budget_is_spent() {
    let site = Site::start(&[("app", None, ECHO); 2], 1).await;
    spend_retry_budget(&site).await;
    set_behaviours(&site, [pausing_after(2); 2]);
    let answer = send_request(&site.gateways[0], "r", RESUMABLE, b"x").await;
    assert_stream_is_complete(&answer);
}

// Guards against ending a paused stream because the worker that should resume it refuses, fails or breaks off.
#[actix_rt::test]
async fn a_stream_continues_after_a_pause_although_the_other_worker_does_not_resume_it() {
    let site = Site::start(&[("app", None, ECHO); 2], 1).await;
    for other in [
        Behaviour::NotRun,
        Behaviour::Fail,
        Behaviour::AbortAnswer { events: 0 },
    ] {
        set_behaviours(&site, [pausing_after(2); 2]);
        let id = format!("{other:?}");
        let answer = send_and_change_the_other(&site, &id, RESUMABLE, other).await;
        assert_stream_is_complete(&answer);
    }
}

// Guards against ending a stream because the last worker that the route allows pauses.
#[actix_rt::test]
async fn a_stream_continues_after_a_pause_of_the_last_worker_that_may_run_it() {
    let site = Site::start(&[("app", None, ECHO); 2], 1).await;
    let silent = Behaviour::Pausing {
        events: EVENTS,
        after: 1,
        pause_ms: ENDLESS_PAUSE_MS,
    };
    set_behaviours(&site, [silent; 2]);
    let answer = send_and_change_the_other(&site, "r", RESUMABLE, pausing_after(3)).await;
    assert_stream_is_complete(&answer);
    assert_eq!(site.runs_of("r"), 2);
}

// Guards against answering that a request is lost because its only worker pauses before or within the answer.
#[actix_rt::test]
async fn an_answer_arrives_after_a_pause_of_the_only_worker() {
    let site = Site::start(&[("app", None, ECHO)], 1).await;
    let delayed = Behaviour::Delayed { delay_ms: PAUSE_MS };
    for (behaviour, expected) in [
        (delayed, "x".to_owned()),
        (pausing_after(0), expected_stream()),
        (pausing_after(2), expected_stream()),
    ] {
        site.workers[0].worker.set_behaviour(behaviour);
        let id = format!("{behaviour:?}");
        let answer = send_request(&site.gateways[0], &id, SHORT_OBJECTIVE, b"x").await;
        assert_eq!(answer.status, 200, "{behaviour:?}");
        assert_eq!(String::from_utf8_lossy(&answer.body), expected);
        assert_eq!(site.runs_of(&id), 1);
    }
}

// Guards against answering that a request is lost because the other worker refuses or fails it during a pause.
#[actix_rt::test]
async fn an_answer_arrives_after_a_pause_although_the_other_worker_does_not_answer() {
    let site = Site::start(&[("app", None, ECHO); 2], 1).await;
    let delayed = Behaviour::Delayed { delay_ms: PAUSE_MS };
    for (behaviour, expected) in [
        (delayed, "x".to_owned()),
        (pausing_after(2), expected_stream()),
    ] {
        for other in [Behaviour::NotRun, Behaviour::Fail, Behaviour::MismatchedId] {
            set_behaviours(&site, [behaviour; 2]);
            let id = format!("{behaviour:?}-{other:?}");
            let answer = send_and_change_the_other(&site, &id, SHORT_OBJECTIVE, other).await;
            assert_eq!(answer.status, 200, "{id}");
            assert_eq!(String::from_utf8_lossy(&answer.body), expected, "{id}");
        }
    }
}

// Guards against a second run of a request that may run once, or of a stream that may not be resumed, after a pause.
#[actix_rt::test]
async fn a_pause_never_leads_to_a_second_run_that_the_route_forbids() {
    let site = Site::start(&[("app", None, ECHO); 2], 1).await;
    for path in [AT_MOST_ONCE, NON_RESUMABLE] {
        set_behaviours(&site, [pausing_after(2); 2]);
        let answer = send_request(&site.gateways[0], path, path, b"x").await;
        assert_stream_is_complete(&answer);
        assert_eq!(site.runs_of(path), 1);
    }
}

// Guards against a worker that still runs a stream while another one has resumed it.
#[actix_rt::test]
async fn a_silent_worker_is_left_as_soon_as_another_one_has_resumed_its_stream() {
    let site = Site::start(&[("app", None, ECHO); 2], 1).await;
    let links = site.link_workers().await;
    let silent = Behaviour::Pausing {
        events: EVENTS,
        after: 1,
        pause_ms: ENDLESS_PAUSE_MS,
    };
    let resuming = Behaviour::Pausing {
        events: EVENTS,
        after: 3,
        pause_ms: ENDLESS_PAUSE_MS,
    };
    set_behaviours(&site, [silent; 2]);
    let request = send_and_change_the_other(&site, "r", RESUMABLE, resuming);
    let left = async {
        let runner = wait_for_runner(&site, "r").await;
        site.wait_for_runs("r", 2).await;
        eventually("the silent worker is left", || async {
            (links[runner].open_connections() == 0).then_some(())
        })
        .await;
        let resumed: &Link = &links[1 - runner];
        assert!(resumed.open_connections() > 0, "the stream has ended");
    };
    tokio::select! {
        _ = request => panic!("the stream has ended"),
        () = left => {}
    }
}
