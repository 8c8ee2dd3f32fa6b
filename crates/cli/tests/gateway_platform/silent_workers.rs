//! Workers that send nothing for a second or so and then go on: no answer is lost because of the silence, whether
//! another worker can run the request or not.

use futures_util::future::{join, join_all};
use serde_json::Value;
use tansyhall_platform_standin::{Behaviour, Run, UnframedEnd};
use tansyhall_testing::{eventually, Link};

use crate::support::{
    send_long_prompt, send_request, CallerAnswer, Site, WorkerSpec, AT_MOST_ONCE, NON_RESUMABLE,
    REPEATABLE, RESUMABLE, SHORT_OBJECTIVE, SHORT_OBJECTIVE_MODEL,
};

const READER: WorkerSpec = ("llm", Some("prefill"), ECHO);
const DECODER: WorkerSpec = ("llm", Some("decode"), ECHO);
const ECHO: Behaviour = Behaviour::Serve { events: 0 };
/// Number of events of each stream.
const EVENTS: u32 = 5;
/// Longer than a gateway waits for a silent worker before it asks another one.
const PAUSE_MS: u64 = 1_300;
/// A worker that pauses this long goes on only after a worker asked in its place has refused late.
const LONG_PAUSE_MS: u64 = 1_700;
/// How late a worker that is asked in place of a silent one refuses.
const LATE_REFUSAL_MS: u64 = 450;
/// Longer than a gateway waits for a prompt to be read apart before it lets another worker read it.
const PROMPT_READ_PAUSE_MS: u64 = 6_000;
/// Longer than the deadline of callers.
const ENDLESS_PAUSE_MS: u64 = 60_000;
/// Maximum number of requests that a test sends in order to spend the retry budget.
const MAX_SPENDING_REQUESTS: usize = 400;

/// Pauses around the time at which a gateway asks another worker.
const PAUSES_MS: [u64; 5] = [900, 1_000, 1_150, 1_300, 1_700];
/// Number of concurrent requests for each pause.
const CONCURRENT_REQUESTS: usize = 6;

/// A worker that ends each stream at once that it should resume.
const ENDING_AT_ONCE: Behaviour = Behaviour::Scripted {
    begun: &[],
    breaks_off: false,
    resumed: &[],
};
/// A worker that begins each stream anew that it should resume.
const BEGINNING_ANEW: Behaviour = Behaviour::Scripted {
    begun: &[],
    breaks_off: false,
    resumed: &["1", "2", "3", "4", "5"],
};

/// A stream with a pause after this event.
const fn pausing_after(event: u32) -> Behaviour {
    Behaviour::Pausing {
        events: EVENTS,
        after: event,
        pause_ms: PAUSE_MS,
    }
}

/// A stream that stops after this event.
const fn stopping_after(event: u32) -> Behaviour {
    Behaviour::Pausing {
        events: EVENTS,
        after: event,
        pause_ms: ENDLESS_PAUSE_MS,
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

fn assert_both_were_asked(site: &Site) {
    for worker in &site.workers {
        assert!(!worker.worker.work_arrivals().is_empty());
    }
}

/// Sends failing requests until the retry budget allows no further send.
async fn spend_retry_budget(site: &Site, path: &str) {
    for worker in &site.workers {
        worker.worker.set_behaviour(Behaviour::Fail);
    }
    for number in 0..MAX_SPENDING_REQUESTS {
        let id = format!("failing-{number}");
        send_request(&site.gateways[0], &id, path, b"x").await;
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
    spend_retry_budget(&site, REPEATABLE).await;
    set_behaviours(&site, [pausing_after(2); 2]);
    let answer = send_request(&site.gateways[0], "r", RESUMABLE, b"x").await;
    assert_stream_is_complete(&answer);
}

// Guards against ending a paused stream because the worker that should resume it refuses, fails, breaks off, begins anew or ends it at once.
#[actix_rt::test]
async fn a_stream_continues_after_a_pause_although_the_other_worker_does_not_resume_it() {
    for other in [
        Behaviour::NotRun,
        Behaviour::Fail,
        Behaviour::AbortAnswer { events: 0 },
        BEGINNING_ANEW,
        ENDING_AT_ONCE,
    ] {
        let site = Site::start(&[("app", None, pausing_after(2)); 2], 1).await;
        let answer = send_and_change_the_other(&site, "r", RESUMABLE, other).await;
        assert_stream_is_complete(&answer);
        assert_both_were_asked(&site);
    }
}

// Guards against leaving a paused worker for another one that refuses late.
#[actix_rt::test]
async fn an_answer_arrives_after_a_pause_although_the_other_worker_refuses_late() {
    let paused_stream = Behaviour::Pausing {
        events: EVENTS,
        after: 2,
        pause_ms: LONG_PAUSE_MS,
    };
    let delayed = Behaviour::Delayed {
        delay_ms: LONG_PAUSE_MS,
    };
    let refusing = Behaviour::NotRunAfter {
        delay_ms: LATE_REFUSAL_MS,
    };
    for (path, behaviour, expected) in [
        (RESUMABLE, paused_stream, expected_stream()),
        (SHORT_OBJECTIVE, delayed, "x".to_owned()),
    ] {
        let site = Site::start(&[("app", None, behaviour); 2], 1).await;
        let answer = send_and_change_the_other(&site, "r", path, refusing).await;
        assert_eq!(answer.status, 200, "{path}");
        assert_eq!(String::from_utf8_lossy(&answer.body), expected, "{path}");
        assert!(answer.is_complete, "{path}");
        assert_both_were_asked(&site);
    }
}

// Guards against leaving a paused worker for another one that does not begin to answer.
#[actix_rt::test]
async fn a_stream_continues_after_a_pause_although_the_other_worker_hangs() {
    let pausing = Behaviour::Pausing {
        events: EVENTS,
        after: 2,
        pause_ms: LONG_PAUSE_MS,
    };
    let site = Site::start(&[("app", None, pausing); 2], 1).await;
    let answer = send_and_change_the_other(&site, "r", RESUMABLE, Behaviour::Hang).await;
    assert_stream_is_complete(&answer);
    assert_both_were_asked(&site);
}

// Guards against ending a sound replacement because the paused worker sends a part of its answer and breaks off.
#[actix_rt::test]
async fn a_replacement_goes_on_if_the_paused_worker_breaks_off() {
    let breaking = |events, pause_ms| Behaviour::AbortAfterPause { events, pause_ms };
    let resuming = Behaviour::Pausing {
        events: EVENTS,
        after: 2,
        pause_ms: 280,
    };
    let answering = Behaviour::Delayed { delay_ms: 500 };
    for (path, breaking, other, expected) in [
        (RESUMABLE, breaking(2, 1_100), resuming, expected_stream()),
        (SHORT_OBJECTIVE, breaking(0, 750), answering, "x".to_owned()),
    ] {
        let site = Site::start(&[("app", None, breaking); 2], 1).await;
        let answer = send_and_change_the_other(&site, "r", path, other).await;
        assert_eq!(answer.status, 200, "{path}");
        assert_eq!(String::from_utf8_lossy(&answer.body), expected, "{path}");
        assert!(answer.is_complete, "{path}");
        assert_eq!(site.runs_of("r"), 2, "{path}");
    }
}

// Guards against spending the retry budget in each pause although no other worker is left to ask.
#[actix_rt::test]
async fn a_pause_uses_no_retry_if_all_other_workers_have_refused_the_request() {
    let paced = Behaviour::Paced {
        events: EVENTS,
        pause_ms: PAUSE_MS,
    };
    let mut site = Site::start(&[("app", None, ECHO); 2], 1).await;
    send_request(&site.gateways[0], "before", RESUMABLE, b"x").await;
    set_behaviours(&site, [paced; 2]);
    let answer = send_and_change_the_other(&site, "r", RESUMABLE, Behaviour::NotRun).await;
    assert_stream_is_complete(&answer);
    let lines = site.gateways.remove(0).stop_and_read();
    let retries_left = |id: &str| {
        let is_request = |line: &&Value| line["event"] == "request" && line["request"] == id;
        let line = lines
            .iter()
            .find(is_request)
            .expect("a line of the request");
        line["retries_left"].as_u64().expect("a number of retries")
    };
    assert!(retries_left("r") + 1 >= retries_left("before"));
}

// Guards against ending a stream because the last worker that the route allows pauses.
#[actix_rt::test]
async fn a_stream_continues_after_a_pause_of_the_last_worker_that_may_run_it() {
    let site = Site::start(&[("app", None, ECHO); 2], 1).await;
    set_behaviours(&site, [stopping_after(1); 2]);
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
    let delayed = Behaviour::Delayed { delay_ms: PAUSE_MS };
    for (behaviour, expected) in [
        (delayed, "x".to_owned()),
        (pausing_after(2), expected_stream()),
    ] {
        for other in [Behaviour::NotRun, Behaviour::Fail, Behaviour::MismatchedId] {
            let site = Site::start(&[("app", None, behaviour); 2], 1).await;
            let answer = send_and_change_the_other(&site, "r", SHORT_OBJECTIVE, other).await;
            let case = format!("{behaviour:?}, {other:?}");
            assert_eq!(answer.status, 200, "{case}");
            assert_eq!(String::from_utf8_lossy(&answer.body), expected, "{case}");
            assert_both_were_asked(&site);
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

/// Lets a worker stop within a stream, and asserts that its connection is closed while the other one runs the request.
async fn assert_silent_worker_is_left(other: Behaviour) {
    let site = Site::start(&[("app", None, ECHO); 2], 1).await;
    let links = site.link_workers().await;
    set_behaviours(&site, [stopping_after(1); 2]);
    let request = send_and_change_the_other(&site, "r", RESUMABLE, other);
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

// Guards against a worker that still runs a stream while another one has resumed it.
#[actix_rt::test]
async fn a_silent_worker_is_left_as_soon_as_another_one_has_resumed_its_stream() {
    assert_silent_worker_is_left(stopping_after(3)).await;
}

// Guards against two workers that run a request for long because the second one begins an answer and sends no event.
#[actix_rt::test]
async fn a_silent_worker_is_left_although_the_other_one_sends_only_the_head_of_its_answer() {
    assert_silent_worker_is_left(stopping_after(1)).await;
}

// Guards against answers that lack or repeat a part because both a paused worker and its replacement answer.
#[actix_rt::test]
async fn an_answer_is_complete_whichever_of_two_pausing_workers_goes_on_first() {
    let site = Site::start(&[("app", None, ECHO); 2], 1).await;
    for pause_ms in PAUSES_MS {
        let pausing = Behaviour::Pausing {
            events: EVENTS,
            after: 2,
            pause_ms,
        };
        set_behaviours(&site, [pausing; 2]);
        for path in [RESUMABLE, SHORT_OBJECTIVE] {
            let ids: Vec<String> = (0..CONCURRENT_REQUESTS)
                .map(|number| format!("{path}-{pause_ms}-{number}"))
                .collect();
            let requests = ids.iter();
            let requests = requests.map(|id| send_request(&site.gateways[0], id, path, b"x"));
            for answer in join_all(requests).await {
                assert_stream_is_complete(&answer);
            }
        }
    }
}

// Guards against refusing a request because the worker that reads its prompt pauses while the retry budget is spent.
#[actix_rt::test]
async fn a_prompt_is_read_after_a_pause_although_the_retry_budget_is_spent() {
    let workers = [READER, DECODER, DECODER];
    let site = Site::start(&workers, 1).await;
    spend_retry_budget(&site, SHORT_OBJECTIVE_MODEL).await;
    let reader = &site.workers[0].worker;
    let delay_ms = PROMPT_READ_PAUSE_MS;
    reader.set_behaviour(Behaviour::Delayed { delay_ms });
    for decoder in &site.workers[1..] {
        decoder.worker.set_behaviour(ECHO);
    }
    let answer = send_long_prompt(&site.gateways[0], "r", SHORT_OBJECTIVE_MODEL).await;
    assert_eq!(answer.status, 200);
    assert_eq!(answer.body, b"prompt");
    assert_eq!(reader.prompts_read(), 1);
}

// Guards against ending a paused stream because the worker asked in its place ends its answer late and without an event.
#[actix_rt::test]
async fn a_stream_is_not_complete_because_a_replacement_ends_late_without_an_event() {
    let pausing = |events, pause_ms| Behaviour::Pausing {
        events,
        after: 2,
        pause_ms,
    };
    let site = Site::start(&[("app", None, pausing(EVENTS, 2_500)); 2], 1).await;
    let answer = send_and_change_the_other(&site, "r", RESUMABLE, pausing(2, 600)).await;
    assert_both_were_asked(&site);
    let body = String::from_utf8_lossy(&answer.body);
    assert!(!answer.is_complete || body == expected_stream(), "{body}");
}

// Guards against leaving the worker that takes the place of a paused one because the process of the paused one ends.
#[actix_rt::test]
async fn a_replacement_goes_on_if_the_process_of_the_paused_worker_ends() {
    let ending = Behaviour::Unframed {
        events: 2,
        end: UnframedEnd::WithPausedProcess { pause_ms: 1_100 },
    };
    let resuming = Behaviour::Pausing {
        events: EVENTS,
        after: 2,
        pause_ms: 280,
    };
    let site = Site::start(&[("app", None, ending); 2], 1).await;
    let answer = send_and_change_the_other(&site, "r", RESUMABLE, resuming).await;
    assert_stream_is_complete(&answer);
    assert_eq!(site.runs_of("r"), 2);
}
