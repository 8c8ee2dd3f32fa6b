//! Each judge passes what is in order and is able to fail.

mod records;

use bytes::Bytes;
use records::{
    answer, arrival, event, evidence, key, plain_run, reading, sent, stream_answer, stream_run,
    with_outcome,
};
use tansyhall_fault_soak::judges::{
    barred, budget, configuration, ended, leaving, mixed, order, rate_limit, refused, rest, twice,
    unasked, EXTRA, WINDOW_S,
};
use tansyhall_fault_soak::{
    judge, Evidence, Garbled, NamedLimit, Outcome, Rest, RouteKind, Rule, StaleConfiguration,
    StrayBytes, Trouble, WorkerEnd, WorkerTrouble,
};

fn rules(evidence: &Evidence) -> Vec<Rule> {
    judge(evidence).iter().map(|found| found.rule).collect()
}

/// A plain request and its run, in order.
fn plain() -> Evidence {
    let run = plain_run(1, key("a"));
    let sent = with_outcome(sent(RouteKind::Once, key("a")), answer(&run));
    evidence(vec![sent], vec![run])
}

/// A stream of three events and its run, in order.
fn stream(route: RouteKind, events: &[(u32, u64)], is_whole: bool) -> Evidence {
    let first = stream_run(1, key("s"), None);
    let second = stream_run(2, key("s"), Some(2));
    let events: Vec<String> = events
        .iter()
        .map(|(number, run)| event(*number, *run, key("s")))
        .collect();
    let outcome = stream_answer(&first, &events.concat(), is_whole);
    let sent = with_outcome(sent(route, key("s")), outcome);
    evidence(vec![sent], vec![first, second])
}

fn change_answer(
    evidence: &mut Evidence,
    change: impl FnOnce(&mut tansyhall_fault_soak::CallerAnswer),
) {
    match &mut evidence.sent[0].outcome {
        Outcome::Answer(answer) => change(answer),
        other => panic!("no answer: {other:?}"),
    }
}

#[test]
fn what_is_in_order_breaks_no_rule() {
    assert!(rules(&plain()).is_empty());
    let whole = [(1, 1), (2, 1), (3, 1)];
    assert!(rules(&stream(RouteKind::ResumableStream, &whole, true)).is_empty());
    let resumed = [(1, 1), (2, 1), (3, 2)];
    assert!(rules(&stream(RouteKind::ResumableStream, &resumed, true)).is_empty());
    let broken = [(1, 1)];
    let mut evidence = stream(RouteKind::FinalStream, &broken, false);
    evidence.runs.truncate(1);
    assert!(rules(&evidence).is_empty());
}

#[test]
fn a_broken_answer_that_is_a_part_of_the_worker_s_is_in_order() {
    let mut evidence = plain();
    change_answer(&mut evidence, |answer| {
        answer.body.truncate(4);
        answer.is_whole = false;
    });
    assert!(rules(&evidence).is_empty());
}

#[test]
fn mixed_sees_the_answer_to_another_request() {
    let run = plain_run(1, key("another"));
    let own = with_outcome(sent(RouteKind::Once, key("a")), answer(&run));
    let other = sent(RouteKind::Once, key("another"));
    let evidence = evidence(vec![own, other], vec![run]);
    assert_eq!(mixed(&evidence).len(), 1);
}

#[test]
fn mixed_sees_the_answer_to_another_body_under_the_same_id() {
    let mut other = key("a");
    other.body += 1;
    let run = plain_run(1, other.clone());
    let own = with_outcome(sent(RouteKind::Once, key("a")), answer(&run));
    let evidence = evidence(vec![own, sent(RouteKind::Once, other)], vec![run]);
    assert_eq!(mixed(&evidence).len(), 1);
}

#[test]
fn mixed_sees_wrong_heads() {
    let changes: [fn(&mut tansyhall_fault_soak::CallerAnswer); 4] = [
        |answer| answer.seal = None,
        |answer| answer.seal = Some("nobody's".into()),
        |answer| answer.status = 500,
        |answer| answer.id = Some("another".into()),
    ];
    for change in changes {
        let mut evidence = plain();
        change_answer(&mut evidence, change);
        assert_eq!(mixed(&evidence).len(), 1);
    }
}

#[test]
fn mixed_sees_wrong_bodies() {
    let mut evidence = plain();
    change_answer(&mut evidence, |answer| answer.body.truncate(4));
    assert_eq!(mixed(&evidence).len(), 1, "a part that looks whole");
    let mut evidence = plain();
    change_answer(&mut evidence, |answer| {
        answer.body = [&answer.body[..], b"more"].concat().into();
    });
    assert_eq!(mixed(&evidence).len(), 1, "more than the body");
}

#[test]
fn mixed_sees_the_text_of_another_request_in_a_failure() {
    let run = plain_run(1, key("another"));
    let mut own = with_outcome(sent(RouteKind::Once, key("a")), answer(&run));
    if let Outcome::Answer(answer) = &mut own.outcome {
        answer.seal = None;
        answer.status = 502;
    }
    let evidence = evidence(vec![own], vec![run]);
    assert_eq!(mixed(&evidence).len(), 1);
}

#[test]
fn mixed_sees_bytes_that_are_no_answer() {
    let mut evidence = plain();
    evidence.sent[0].outcome = Outcome::Garbage {
        bytes: "no answer".into(),
    };
    assert_eq!(mixed(&evidence).len(), 1);
}

#[test]
fn mixed_sees_success_and_garbage_on_an_idle_connection() {
    let cases = [("HTTP/1.1 200 OK", 1), ("garbage", 1), ("HTTP/1.1 408 ", 0)];
    for (bytes, expected) in cases {
        let mut evidence = plain();
        evidence.stray.push(StrayBytes {
            gateway: 0,
            at_ms: 0,
            bytes: bytes.into(),
        });
        assert_eq!(mixed(&evidence).len(), expected, "{bytes}");
    }
}

#[test]
fn mixed_sees_a_run_from_the_cache_of_another_request() {
    for (read, expected) in [("a", 0), ("another", 1)] {
        let mut evidence = plain();
        evidence.runs[0].cache_source = Some("1.1.1.1:1/c1".into());
        evidence.readings = vec![reading("1.1.1.1:1/c1", key(read))];
        assert_eq!(mixed(&evidence).len(), expected);
    }
    let mut evidence = plain();
    evidence.runs[0].cache_source = Some("1.1.1.1:1/c1".into());
    assert_eq!(mixed(&evidence).len(), 1, "a cache that nobody read");
}

#[test]
fn mixed_sees_foreign_parts_of_a_stream() {
    let mut evidence = stream(RouteKind::ResumableStream, &[(1, 1)], false);
    let other = event(2, 1, key("another"));
    change_answer(&mut evidence, |answer| {
        answer.body = [&answer.body[..], other.as_bytes()].concat().into();
    });
    assert_eq!(mixed(&evidence).len(), 1);
    let mut evidence = stream(RouteKind::ResumableStream, &[(1, 1)], false);
    change_answer(&mut evidence, |answer| {
        answer.body = [&answer.body[..], b"data: stray\n\n"].concat().into();
    });
    assert_eq!(mixed(&evidence).len(), 1);
}

#[test]
fn twice_sees_a_second_run_of_what_may_not_be_repeated() {
    let mut evidence = plain();
    evidence.runs.push(plain_run(2, key("a")));
    assert_eq!(twice(&evidence).len(), 1);
    evidence.sent[0].route = RouteKind::Repeatable;
    assert!(twice(&evidence).is_empty());
}

#[test]
fn refused_sees_a_run_of_what_was_refused() {
    for (status, expected) in [(503, 1), (429, 1), (408, 1), (421, 1), (502, 0), (504, 0)] {
        let mut evidence = plain();
        change_answer(&mut evidence, |answer| {
            answer.status = status;
            answer.seal = None;
            answer.body = Bytes::new();
        });
        assert_eq!(refused(&evidence).len(), expected, "{status}");
        evidence.sent[0].route = RouteKind::Repeatable;
        assert!(refused(&evidence).is_empty());
    }
}

#[test]
fn unasked_sees_what_no_caller_sent() {
    let changes: [fn(&mut tansyhall_fault_soak::Run); 5] = [
        |run| run.mark.key.id.push('x'),
        |run| run.mark.key.target.push('x'),
        |run| run.mark.key.body += 1,
        |run| run.method = "GET".into(),
        |run| run.prompt = "m 1,1 a:2".into(),
    ];
    for change in changes {
        let mut evidence = plain();
        change(&mut evidence.runs[0]);
        assert_eq!(unasked(&evidence).len(), 1);
    }
    let mut evidence = plain();
    evidence.readings.push(reading("1.1.1.1:1/c1", key("b")));
    assert_eq!(unasked(&evidence).len(), 1);
    let mut evidence = plain();
    evidence.garbled.push(Garbled {
        worker: "i-1".into(),
        bytes: "rest of a body".into(),
        at_ms: 0,
    });
    assert_eq!(unasked(&evidence).len(), 1);
}

/// A route, events with their runs, and whether the answer looks whole.
type StreamCase = (RouteKind, &'static [(u32, u64)], bool);

#[test]
fn order_sees_missing_double_and_joined_events() {
    let cases: [StreamCase; 7] = [
        (RouteKind::ResumableStream, &[(1, 1), (3, 1)], false),
        (RouteKind::ResumableStream, &[(1, 1), (1, 1)], false),
        (RouteKind::ResumableStream, &[(2, 1), (3, 1)], false),
        (RouteKind::ResumableStream, &[(1, 1), (2, 1)], true),
        (RouteKind::ResumableStream, &[], true),
        (RouteKind::ResumableStream, &[(1, 1), (2, 2)], false),
        (RouteKind::FinalStream, &[(1, 1), (2, 1), (3, 2)], true),
    ];
    for (route, events, is_whole) in cases {
        let evidence = stream(route, events, is_whole);
        assert_eq!(order(&evidence).len(), 1, "{route:?} {events:?}");
    }
}

#[test]
fn order_sees_a_torn_event_in_what_looks_whole() {
    let mut evidence = stream(RouteKind::ResumableStream, &[(1, 1), (2, 1), (3, 1)], true);
    change_answer(&mut evidence, |answer| {
        answer.body = [&answer.body[..], b"id: 4\nda"].concat().into();
    });
    assert_eq!(order(&evidence).len(), 1);
}

#[test]
fn order_counts_from_the_event_that_the_caller_has() {
    let mut evidence = stream(RouteKind::ResumableStream, &[(3, 2)], true);
    assert_eq!(order(&evidence).len(), 1);
    evidence.sent[0].after_event = Some(2);
    assert!(order(&evidence).is_empty());
}

#[test]
fn ended_sees_a_process_that_ended_by_itself() {
    let mut evidence = plain();
    evidence.ended.push("gateway-0: signal 6".into());
    assert_eq!(ended(&evidence).len(), 1);
}

#[test]
fn configuration_sees_a_gateway_that_has_an_older_one() {
    let mut evidence = plain();
    evidence.stale_configurations.push(StaleConfiguration {
        gateway: 1,
        written: 9,
        in_force: Some(7.0),
    });
    assert_eq!(configuration(&evidence).len(), 1);
    assert_eq!(rules(&evidence), [Rule::Configuration]);
}

/// A request that is tried once and arrives so often, with a first reading that is taken up or not.
fn repeats(arrivals: usize, is_taken_up: bool) -> Evidence {
    let mut asked = sent(RouteKind::EngineResumable, key("a"));
    asked.key.target = "/talk/a".into();
    let key = asked.key.clone();
    let mut evidence = evidence(vec![asked], Vec::new());
    let mut first = arrival(key.clone());
    first.is_reading = true;
    first.is_taken_up = is_taken_up;
    evidence.arrivals.push(first);
    for _ in 0..arrivals {
        evidence.arrivals.push(arrival(key.clone()));
    }
    evidence
}

#[test]
fn budget_sees_more_repeats_than_the_fleet_has() {
    // One request allows hardly more than the fixed number of arrivals past its first.
    let most = EXTRA as usize;
    assert!(budget(&repeats(most + 1, true)).is_empty());
    assert_eq!(budget(&repeats(most + 2, true)).len(), 1);
    assert!(budget(&repeats(most, false)).is_empty());
    assert_eq!(budget(&repeats(most + 1, false)).len(), 1);
}

#[test]
fn budget_counts_each_window_by_itself() {
    let most = EXTRA as usize;
    let mut evidence = repeats(2 * most, true);
    assert_eq!(budget(&evidence).len(), 1);
    for arrival in evidence.arrivals.iter_mut().skip(most + 2) {
        arrival.at_ms = 3 * 1_000 * WINDOW_S;
    }
    assert!(budget(&evidence).is_empty());
}

#[test]
fn budget_sees_requests_on_too_many_workers() {
    for (requests, expected) in [(3, 0), (4, 1)] {
        let mut evidence = Evidence::default();
        for number in 0..requests {
            let key = key(&format!("a{number}"));
            evidence.sent.push(sent(RouteKind::Once, key.clone()));
            for worker in ["i-1", "i-2"] {
                let mut run = plain_run(number, key.clone());
                run.mark.worker = worker.into();
                evidence.runs.push(run);
            }
        }
        assert_eq!(budget(&evidence).len(), expected);
    }
}

/// A request under which workers ended at these times, and whose tries reached others at those.
fn deadly(ends_ms: &[u64], arrivals_ms: &[u64]) -> Evidence {
    let mut evidence = Evidence::default();
    for at_ms in ends_ms {
        evidence.worker_ends.push(WorkerEnd {
            key: key(&format!("end-{at_ms}")),
            worker: "i-1".into(),
            at_ms: *at_ms,
        });
    }
    for at_ms in arrivals_ms {
        let key = key(&format!("try-{at_ms}"));
        let mut arrival = arrival(key.clone());
        arrival.at_ms = *at_ms;
        evidence.arrivals.push(arrival);
        evidence.sent.push(sent(RouteKind::Repeatable, key));
    }
    evidence
}

#[test]
fn a_request_that_goes_on_to_workers_after_the_third_end_is_found() {
    let late = [13_001, 13_002, 13_003, 13_004];
    assert!(!barred(&deadly(&[1, 2, 10_000], &late)).is_empty());
    assert!(barred(&deadly(&[1, 10_000], &late)).is_empty());
    assert!(barred(&deadly(&[1, 2, 10_000], &late[..3])).is_empty());
    let soon = [12_997, 12_998, 12_999, 13_000];
    assert!(barred(&deadly(&[1, 2, 10_000], &soon)).is_empty());
}

#[test]
fn arrivals_from_a_gateway_in_trouble_do_not_count() {
    let mut evidence = deadly(&[1, 2, 3], &[13_001, 13_002, 13_003, 13_004]);
    let trouble = |gateway, to_ms| Trouble {
        gateway,
        from_ms: 9_000,
        to_ms,
    };
    evidence.troubles = vec![trouble(1, 13_000), trouble(0, 10_000)];
    assert!(!barred(&evidence).is_empty());
    evidence.troubles.push(trouble(0, 10_004));
    assert!(barred(&evidence).is_empty());
}

/// A worker that said at 1,000 ms, through gateway 0, that it leaves, and a request that was sent to a gateway at a
/// time and reached it.
fn sent_to_a_leaving_worker(gateway: usize, sent_ms: u64) -> Evidence {
    let run = plain_run(1, key("first"));
    let mut first = with_outcome(sent(RouteKind::Once, key("first")), answer(&run));
    first.ended_ms = 1_000;
    if let Outcome::Answer(answer) = &mut first.outcome {
        answer.says_leaving = true;
    }
    let mut later = sent(RouteKind::Once, key("later"));
    later.gateway = gateway;
    later.at_ms = sent_ms;
    let mut evidence = evidence(vec![first, later], vec![run]);
    let mut reached = arrival(key("later"));
    reached.at_ms = sent_ms + 5;
    evidence.arrivals.push(reached);
    evidence
}

#[test]
fn leaving_sees_requests_after_the_word_was_passed_on() {
    assert_eq!(leaving(&sent_to_a_leaving_worker(0, 3_001)).len(), 1);
    assert!(leaving(&sent_to_a_leaving_worker(0, 3_000)).is_empty());
    assert!(leaving(&sent_to_a_leaving_worker(1, 3_001)).is_empty());
    let mut elsewhere = sent_to_a_leaving_worker(0, 3_001);
    elsewhere.arrivals[0].is_meant = false;
    assert!(leaving(&elsewhere).is_empty());
    let mut excused = sent_to_a_leaving_worker(0, 3_001);
    excused.troubles.push(Trouble {
        gateway: 0,
        from_ms: 2_000,
        to_ms: 2_010,
    });
    assert!(leaving(&excused).is_empty());
}

/// A worker that asked gateway 0 at 1,000 ms for two seconds of rest, and requests that reached it at these times.
fn sent_to_a_resting_worker(arrivals_ms: &[u64]) -> Evidence {
    let run = plain_run(1, key("refused"));
    let refused = with_outcome(sent(RouteKind::Once, key("refused")), answer(&run));
    let mut evidence = evidence(vec![refused], Vec::new());
    evidence.rests.push(Rest {
        key: key("refused"),
        worker: "i-1".into(),
        at_ms: 1_000,
        rest_ms: 2_000,
    });
    for at_ms in arrivals_ms {
        let key = key(&format!("r-{at_ms}"));
        evidence.sent.push(sent(RouteKind::Once, key.clone()));
        let mut reached = arrival(key);
        reached.at_ms = *at_ms;
        evidence.arrivals.push(reached);
    }
    evidence
}

#[test]
fn rest_sees_requests_in_a_rest() {
    assert_eq!(
        rest(&sent_to_a_resting_worker(&[1_501, 2_000, 2_999])).len(),
        1
    );
    assert!(rest(&sent_to_a_resting_worker(&[1_501, 2_999])).is_empty());
    assert!(rest(&sent_to_a_resting_worker(&[
        1_400, 1_500, 2_999, 3_000, 3_001
    ]))
    .is_empty());
    let mut excused = sent_to_a_resting_worker(&[1_501, 2_000, 2_999]);
    excused.worker_troubles.push(WorkerTrouble {
        worker: "i-1".into(),
        from_ms: 900,
        to_ms: 1_001,
    });
    assert!(rest(&excused).is_empty());
    let mut left = sent_to_a_resting_worker(&[1_501, 2_000, 2_999]);
    left.sent[0].outcome = Outcome::NoAnswer { why: "left".into() };
    assert!(rest(&left).is_empty());
}

/// A worker that names a limit of half a request a second from 1,000 ms on, which gateway 0 passes on at 1,500 ms, and
/// requests that reach it through a gateway at these times.
fn sent_to_a_limited_worker(gateway: usize, arrivals_ms: &[u64]) -> Evidence {
    let run = plain_run(1, key("first"));
    let mut first = with_outcome(sent(RouteKind::Once, key("first")), answer(&run));
    first.ended_ms = 1_500;
    if let Outcome::Answer(answer) = &mut first.outcome {
        answer.names_limit = true;
    }
    let mut evidence = evidence(vec![first], vec![run]);
    evidence.rate_limits.push(NamedLimit {
        worker: "i-1".into(),
        millirequests: 500,
        from_ms: 1_000,
        to_ms: Some(20_000),
    });
    for at_ms in arrivals_ms {
        let key = key(&format!("r-{at_ms}"));
        let mut later = sent(RouteKind::Once, key.clone());
        later.gateway = gateway;
        evidence.sent.push(later);
        let mut reached = arrival(key);
        reached.at_ms = *at_ms;
        evidence.arrivals.push(reached);
    }
    evidence
}

#[test]
fn rate_limit_sees_more_requests_than_a_worker_takes_from_gateways_that_were_told() {
    let nine: Vec<u64> = (0..9).map(|number| 2_000 + number * 400).collect();
    assert_eq!(rate_limit(&sent_to_a_limited_worker(0, &nine)).len(), 1);
    assert!(rate_limit(&sent_to_a_limited_worker(0, &nine[1..])).is_empty());
    assert!(rate_limit(&sent_to_a_limited_worker(1, &nine)).is_empty());
    let early: Vec<u64> = nine.iter().map(|at_ms| at_ms - 1).collect();
    assert!(rate_limit(&sent_to_a_limited_worker(0, &early)).is_empty());
    let apart: Vec<u64> = nine
        .iter()
        .map(|at_ms| 2_000 + (at_ms - 2_000) * 2)
        .collect();
    assert!(rate_limit(&sent_to_a_limited_worker(0, &apart)).is_empty());
    let after_it: Vec<u64> = nine.iter().map(|at_ms| at_ms + 18_000).collect();
    assert!(rate_limit(&sent_to_a_limited_worker(0, &after_it)).is_empty());
    let mut excused = sent_to_a_limited_worker(0, &nine);
    excused.troubles.push(Trouble {
        gateway: 0,
        from_ms: 1_600,
        to_ms: 1_610,
    });
    assert!(rate_limit(&excused).is_empty());
    let mut held_up = sent_to_a_limited_worker(0, &nine);
    held_up.worker_troubles.push(WorkerTrouble {
        worker: "i-1".into(),
        from_ms: 1_000,
        to_ms: 1_900,
    });
    assert!(rate_limit(&held_up).is_empty());
}
