//! Each judge accepts correct evidence and detects violations of its rule. Without these tests, a judge that never
//! finds anything would go unnoticed.

mod departures;
mod partitions;
mod records;

use bytes::Bytes;
use records::{
    answer, arrival, broken_answer, event, evidence, key, plain_run, reading, sent, stream_answer,
    stream_run, with_outcome,
};
use tansyhall_fault_soak::judges::{
    check_barred, check_budget, check_configuration, check_ended, check_leaving, check_mixed,
    check_order, check_rate_limit, check_refused, check_rest, check_twice, check_unasked,
    check_versions, BASE_RETRIES, BUDGET_WINDOW_S,
};
use tansyhall_fault_soak::{
    judge, AnnouncedRateLimit, BackoffRequest, Evidence, GatewayFault, GatewayFaultPeriod,
    InvalidBytes, Outcome, RouteKind, Rule, StaleConfiguration, StrayBytes, WorkerCrash,
    WorkerLinkFaultPeriod,
};

fn rules(evidence: &Evidence) -> Vec<Rule> {
    judge(evidence)
        .iter()
        .map(|violation| violation.rule)
        .collect()
}

/// Returns a request with a plain body and its run, without a violation.
fn plain_evidence() -> Evidence {
    let run = plain_run(1, key("a"));
    let sent = with_outcome(sent(RouteKind::Once, key("a")), answer(&run));
    evidence(vec![sent], vec![run])
}

/// Returns a stream with these events, each given by number and run, whose last event is the third. Run 2 resumes run 1
/// after event 2.
fn stream_evidence(route: RouteKind, events: &[(u32, u64)], is_whole: bool) -> Evidence {
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
        other => panic!("expected an answer, got {other:?}"),
    }
}

#[test]
fn correct_evidence_has_no_violations() {
    assert!(rules(&plain_evidence()).is_empty());
    let complete = [(1, 1), (2, 1), (3, 1)];
    assert!(rules(&stream_evidence(
        RouteKind::ResumableStream,
        &complete,
        true
    ))
    .is_empty());
    let resumed = [(1, 1), (2, 1), (3, 2)];
    assert!(rules(&stream_evidence(RouteKind::ResumableStream, &resumed, true)).is_empty());
    let truncated = [(1, 1)];
    let mut evidence = stream_evidence(RouteKind::FinalStream, &truncated, false);
    evidence.runs.truncate(1);
    evidence.broken_answers.push(broken_answer("s"));
    assert!(rules(&evidence).is_empty());
}

#[test]
fn a_truncated_answer_that_looks_truncated_is_no_violation() {
    let mut evidence = plain_evidence();
    change_answer(&mut evidence, |answer| {
        answer.body.truncate(4);
        answer.is_whole = false;
    });
    evidence.broken_answers.push(broken_answer("a"));
    assert!(rules(&evidence).is_empty());
}

#[test]
fn mixed_detects_the_answer_to_another_request() {
    let run = plain_run(1, key("another"));
    let own = with_outcome(sent(RouteKind::Once, key("a")), answer(&run));
    let other = sent(RouteKind::Once, key("another"));
    let evidence = evidence(vec![own, other], vec![run]);
    assert_eq!(check_mixed(&evidence).len(), 1);
}

#[test]
fn mixed_detects_the_answer_to_another_body_under_the_same_id() {
    let mut other = key("a");
    other.body += 1;
    let run = plain_run(1, other.clone());
    let own = with_outcome(sent(RouteKind::Once, key("a")), answer(&run));
    let evidence = evidence(vec![own, sent(RouteKind::Once, other)], vec![run]);
    assert_eq!(check_mixed(&evidence).len(), 1);
}

#[test]
fn mixed_detects_wrong_heads() {
    let changes: [fn(&mut tansyhall_fault_soak::CallerAnswer); 4] = [
        |answer| answer.seal = None,
        |answer| answer.seal = Some("nobody's".into()),
        |answer| answer.status = 500,
        |answer| answer.id = Some("another".into()),
    ];
    for change in changes {
        let mut evidence = plain_evidence();
        change_answer(&mut evidence, change);
        assert_eq!(check_mixed(&evidence).len(), 1);
    }
}

#[test]
fn mixed_detects_wrong_bodies() {
    let mut evidence = plain_evidence();
    change_answer(&mut evidence, |answer| answer.body.truncate(4));
    assert_eq!(
        check_mixed(&evidence).len(),
        1,
        "truncated body that looks complete"
    );
    let mut evidence = plain_evidence();
    change_answer(&mut evidence, |answer| {
        answer.body = [&answer.body[..], b"more"].concat().into();
    });
    assert_eq!(
        check_mixed(&evidence).len(),
        1,
        "extra bytes after the body"
    );
}

#[test]
fn mixed_detects_the_text_of_another_request_in_an_error_answer() {
    let run = plain_run(1, key("another"));
    let mut own = with_outcome(sent(RouteKind::Once, key("a")), answer(&run));
    if let Outcome::Answer(answer) = &mut own.outcome {
        answer.seal = None;
        answer.status = 502;
    }
    let evidence = evidence(vec![own], vec![run]);
    assert_eq!(check_mixed(&evidence).len(), 1);
}

#[test]
fn mixed_detects_bytes_that_are_not_an_answer() {
    let mut evidence = plain_evidence();
    evidence.sent[0].outcome = Outcome::Garbage {
        bytes: "no answer".into(),
    };
    assert_eq!(check_mixed(&evidence).len(), 1);
}

#[test]
fn mixed_detects_success_and_garbage_on_an_idle_connection() {
    let cases = [("HTTP/1.1 200 OK", 1), ("garbage", 1), ("HTTP/1.1 408 ", 0)];
    for (bytes, expected) in cases {
        let mut evidence = plain_evidence();
        evidence.stray.push(StrayBytes {
            gateway: 0,
            at_ms: 0,
            bytes: bytes.into(),
        });
        assert_eq!(check_mixed(&evidence).len(), expected, "{bytes}");
    }
}

#[test]
fn mixed_detects_a_run_from_the_cache_of_another_request() {
    for (read, expected) in [("a", 0), ("another", 1)] {
        let mut evidence = plain_evidence();
        evidence.runs[0].cache_source = Some("1.1.1.1:1/c1".into());
        evidence.readings = vec![reading("1.1.1.1:1/c1", key(read))];
        assert_eq!(check_mixed(&evidence).len(), expected);
    }
    let mut evidence = plain_evidence();
    evidence.runs[0].cache_source = Some("1.1.1.1:1/c1".into());
    assert_eq!(
        check_mixed(&evidence).len(),
        1,
        "cache that no worker has filled"
    );
}

#[test]
fn mixed_detects_foreign_parts_of_a_stream() {
    let mut evidence = stream_evidence(RouteKind::ResumableStream, &[(1, 1)], false);
    let other = event(2, 1, key("another"));
    change_answer(&mut evidence, |answer| {
        answer.body = [&answer.body[..], other.as_bytes()].concat().into();
    });
    assert_eq!(check_mixed(&evidence).len(), 1);
    let mut evidence = stream_evidence(RouteKind::ResumableStream, &[(1, 1)], false);
    change_answer(&mut evidence, |answer| {
        answer.body = [&answer.body[..], b"data: stray\n\n"].concat().into();
    });
    assert_eq!(check_mixed(&evidence).len(), 1);
}

#[test]
fn twice_detects_a_second_run_of_a_request_that_may_not_be_repeated() {
    let mut evidence = plain_evidence();
    evidence.runs.push(plain_run(2, key("a")));
    assert_eq!(check_twice(&evidence).len(), 1);
    evidence.sent[0].route = RouteKind::Repeatable;
    assert!(check_twice(&evidence).is_empty());
}

#[test]
fn refused_detects_a_run_of_a_refused_request() {
    for (status, expected) in [(503, 1), (429, 1), (408, 1), (421, 1), (502, 0), (504, 0)] {
        let mut evidence = plain_evidence();
        change_answer(&mut evidence, |answer| {
            answer.status = status;
            answer.seal = None;
            answer.body = Bytes::new();
        });
        assert_eq!(check_refused(&evidence).len(), expected, "{status}");
        evidence.sent[0].route = RouteKind::Repeatable;
        assert!(check_refused(&evidence).is_empty());
    }
}

#[test]
fn unasked_detects_requests_that_no_caller_sent() {
    let changes: [fn(&mut tansyhall_fault_soak::Run); 5] = [
        |run| run.mark.key.id.push('x'),
        |run| run.mark.key.target.push('x'),
        |run| run.mark.key.body += 1,
        |run| run.method = "GET".into(),
        |run| run.prompt = "m 1,1 a:2".into(),
    ];
    for change in changes {
        let mut evidence = plain_evidence();
        change(&mut evidence.runs[0]);
        assert_eq!(check_unasked(&evidence).len(), 1);
    }
    let mut evidence = plain_evidence();
    evidence.readings.push(reading("1.1.1.1:1/c1", key("b")));
    assert_eq!(check_unasked(&evidence).len(), 1);
    let mut evidence = plain_evidence();
    evidence.garbled.push(InvalidBytes {
        worker: "i-1".into(),
        bytes: "rest of a body".into(),
        at_ms: 0,
    });
    assert_eq!(check_unasked(&evidence).len(), 1);
}

/// A route, events with their runs, and whether the answer looks complete.
type StreamCase = (RouteKind, &'static [(u32, u64)], bool);

#[test]
fn order_detects_missing_and_duplicated_events_and_a_change_of_run_without_resumption() {
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
        let evidence = stream_evidence(route, events, is_whole);
        assert_eq!(check_order(&evidence).len(), 1, "{route:?} {events:?}");
    }
}

#[test]
fn order_detects_a_truncated_event_in_a_stream_that_looks_complete() {
    let mut evidence = stream_evidence(RouteKind::ResumableStream, &[(1, 1), (2, 1), (3, 1)], true);
    change_answer(&mut evidence, |answer| {
        answer.body = [&answer.body[..], b"id: 4\nda"].concat().into();
    });
    assert_eq!(check_order(&evidence).len(), 1);
}

#[test]
fn order_expects_the_event_after_the_last_one_that_the_caller_has() {
    let mut evidence = stream_evidence(RouteKind::ResumableStream, &[(3, 2)], true);
    assert_eq!(check_order(&evidence).len(), 1);
    evidence.sent[0].after_event = Some(2);
    assert!(check_order(&evidence).is_empty());
}

/// The second run is at another version: in the same answer, in the answer to the next try, and in a stream that began anew.
#[test]
fn versions_detects_a_stream_that_goes_on_at_another_version() {
    let route = RouteKind::ResumableStream;
    let within = stream_evidence_of_two_versions(route, &[(1, 1), (2, 2)]);
    assert_eq!(check_versions(&within).len(), 1);
    assert!(check_versions(&stream_evidence(route, &[(1, 1), (2, 2)], true)).is_empty());
    let mut tries = stream_evidence_of_two_versions(route, &[(1, 1)]);
    let mut next = stream_evidence(route, &[(2, 2)], true).sent.remove(0);
    next.at_ms = 1;
    next.after_event = Some(1);
    tries.sent.push(next);
    assert_eq!(check_versions(&tries).len(), 1);
    tries.sent[1].after_event = None;
    assert!(check_versions(&tries).is_empty());
}

/// A caller that takes a stream up names it by its id, which another stream had before.
#[test]
fn versions_cannot_tell_two_streams_with_the_same_id_apart() {
    let route = RouteKind::ResumableStream;
    let mut tries = stream_evidence_of_two_versions(route, &[(1, 1)]);
    tries.sent[0].key.target = "/other".into();
    let mut next = stream_evidence(route, &[(1, 1)], false).sent.remove(0);
    next.at_ms = 1;
    tries.sent.push(next);
    let mut last = stream_evidence(route, &[(2, 2)], true).sent.remove(0);
    last.at_ms = 2;
    last.after_event = Some(1);
    tries.sent.push(last);
    assert!(check_versions(&tries).is_empty());
    tries.sent.remove(0);
    assert_eq!(check_versions(&tries).len(), 1);
}

fn stream_evidence_of_two_versions(route: RouteKind, events: &[(u32, u64)]) -> Evidence {
    let mut evidence = stream_evidence(route, events, false);
    evidence.runs[1].version = "v2".into();
    evidence
}

#[test]
fn ended_detects_a_process_that_exited_unexpectedly() {
    let mut evidence = plain_evidence();
    evidence.ended.push("gateway-0: signal 6".into());
    assert_eq!(check_ended(&evidence).len(), 1);
}

#[test]
fn configuration_detects_a_gateway_with_an_older_version() {
    let mut evidence = plain_evidence();
    evidence.stale_configurations.push(StaleConfiguration {
        gateway: 1,
        written: 9,
        in_force: Some(7.0),
    });
    assert_eq!(check_configuration(&evidence).len(), 1);
    assert_eq!(rules(&evidence), [Rule::Configuration]);
}

/// Returns a request that its caller sends once and that arrives at workers this often after a first arrival for
/// prefill, which the worker accepts or not.
fn evidence_with_arrivals(arrivals: usize, is_taken_up: bool) -> Evidence {
    let mut request = sent(RouteKind::EngineResumable, key("a"));
    request.key.target = "/talk/a".into();
    let key = request.key.clone();
    let mut evidence = evidence(vec![request], Vec::new());
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
fn budget_detects_more_retries_than_the_fleet_may_send() {
    // A single request raises the budget by only a fraction of a retry above the fixed number.
    let max_retries = BASE_RETRIES as usize;
    assert!(check_budget(&evidence_with_arrivals(max_retries + 1, true)).is_empty());
    assert_eq!(
        check_budget(&evidence_with_arrivals(max_retries + 2, true)).len(),
        1
    );
    assert!(check_budget(&evidence_with_arrivals(max_retries, false)).is_empty());
    assert_eq!(
        check_budget(&evidence_with_arrivals(max_retries + 1, false)).len(),
        1
    );
}

#[test]
fn budget_counts_each_window_separately() {
    let max_retries = BASE_RETRIES as usize;
    let mut evidence = evidence_with_arrivals(2 * max_retries, true);
    assert_eq!(check_budget(&evidence).len(), 1);
    for arrival in evidence.arrivals.iter_mut().skip(max_retries + 2) {
        arrival.at_ms = 3 * 1_000 * BUDGET_WINDOW_S;
    }
    assert!(check_budget(&evidence).is_empty());
}

#[test]
fn budget_detects_requests_on_too_many_workers() {
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
        assert_eq!(check_budget(&evidence).len(), expected);
    }
}

/// Returns a request that crashed workers at the times `crashes_ms`, and whose other attempts arrived at workers at the
/// times `arrivals_ms`.
fn evidence_with_crashes(crashes_ms: &[u64], arrivals_ms: &[u64]) -> Evidence {
    let mut evidence = Evidence::default();
    for at_ms in crashes_ms {
        evidence.worker_ends.push(WorkerCrash {
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
fn barred_detects_a_request_that_is_sent_to_workers_after_the_third_crash() {
    let late = [13_001, 13_002, 13_003, 13_004];
    assert!(!check_barred(&evidence_with_crashes(&[1, 2, 10_000], &late)).is_empty());
    assert!(check_barred(&evidence_with_crashes(&[1, 10_000], &late)).is_empty());
    assert!(check_barred(&evidence_with_crashes(&[1, 2, 10_000], &late[..3])).is_empty());
    let within_propagation = [12_997, 12_998, 12_999, 13_000];
    assert!(check_barred(&evidence_with_crashes(&[1, 2, 10_000], &within_propagation)).is_empty());
}

#[test]
fn barred_ignores_arrivals_from_a_gateway_with_a_recent_fault() {
    let mut evidence = evidence_with_crashes(&[1, 2, 3], &[13_001, 13_002, 13_003, 13_004]);
    let fault_period = |gateway, to_ms| GatewayFaultPeriod {
        gateway,
        fault: GatewayFault::Freeze,
        from_ms: 9_000,
        to_ms,
    };
    evidence.troubles = vec![fault_period(1, 13_000), fault_period(0, 10_000)];
    assert!(!check_barred(&evidence).is_empty());
    evidence.troubles.push(fault_period(0, 10_004));
    assert!(check_barred(&evidence).is_empty());
}

/// Returns a worker that said through gateway 0 at 1,000 ms that it is leaving, and a request that was sent to a
/// gateway at `sent_ms` and arrived at the worker.
fn evidence_with_leaving_worker(gateway: usize, sent_ms: u64) -> Evidence {
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
    let mut arrived = arrival(key("later"));
    arrived.at_ms = sent_ms + 5;
    evidence.arrivals.push(arrived);
    evidence
}

#[test]
fn leaving_detects_requests_after_the_gateway_forwarded_the_notice() {
    assert_eq!(
        check_leaving(&evidence_with_leaving_worker(0, 3_001)).len(),
        1
    );
    assert!(check_leaving(&evidence_with_leaving_worker(0, 3_000)).is_empty());
    assert!(check_leaving(&evidence_with_leaving_worker(1, 3_001)).is_empty());
    let mut other_incarnation = evidence_with_leaving_worker(0, 3_001);
    other_incarnation.arrivals[0].is_meant = false;
    assert!(check_leaving(&other_incarnation).is_empty());
    let mut excused = evidence_with_leaving_worker(0, 3_001);
    excused.troubles.push(GatewayFaultPeriod {
        gateway: 0,
        fault: GatewayFault::Freeze,
        from_ms: 2_000,
        to_ms: 2_010,
    });
    assert!(check_leaving(&excused).is_empty());
}

/// Returns a worker that asked gateway 0 at 1,000 ms to back off for two seconds, and requests that arrived at the
/// worker at these times.
fn evidence_with_backoff(arrivals_ms: &[u64]) -> Evidence {
    let run = plain_run(1, key("refused"));
    let refused = with_outcome(sent(RouteKind::Once, key("refused")), answer(&run));
    let mut evidence = evidence(vec![refused], Vec::new());
    evidence.rests.push(BackoffRequest {
        key: key("refused"),
        worker: "i-1".into(),
        at_ms: 1_000,
        rest_ms: 2_000,
    });
    for at_ms in arrivals_ms {
        let key = key(&format!("r-{at_ms}"));
        evidence.sent.push(sent(RouteKind::Once, key.clone()));
        let mut arrived = arrival(key);
        arrived.at_ms = *at_ms;
        evidence.arrivals.push(arrived);
    }
    evidence
}

#[test]
fn rest_detects_requests_during_a_backoff() {
    assert_eq!(
        check_rest(&evidence_with_backoff(&[1_501, 2_000, 2_999])).len(),
        1
    );
    assert!(check_rest(&evidence_with_backoff(&[1_501, 2_999])).is_empty());
    assert!(check_rest(&evidence_with_backoff(&[1_400, 1_500, 2_999, 3_000, 3_001])).is_empty());
    let mut excused = evidence_with_backoff(&[1_501, 2_000, 2_999]);
    excused.worker_troubles.push(WorkerLinkFaultPeriod {
        worker: "i-1".into(),
        from_ms: 900,
        to_ms: 1_001,
    });
    assert!(check_rest(&excused).is_empty());
    let mut no_answer = evidence_with_backoff(&[1_501, 2_000, 2_999]);
    no_answer.sent[0].outcome = Outcome::NoAnswer { why: "left".into() };
    assert!(check_rest(&no_answer).is_empty());
}

/// Returns a worker that announces a limit of half a request per second from 1,000 ms on, which gateway 0 forwards at
/// 1,500 ms, and requests that arrive at the worker through a gateway at these times.
fn evidence_with_rate_limit(gateway: usize, arrivals_ms: &[u64]) -> Evidence {
    let run = plain_run(1, key("first"));
    let mut first = with_outcome(sent(RouteKind::Once, key("first")), answer(&run));
    first.ended_ms = 1_500;
    if let Outcome::Answer(answer) = &mut first.outcome {
        answer.names_limit = true;
    }
    let mut evidence = evidence(vec![first], vec![run]);
    evidence.rate_limits.push(AnnouncedRateLimit {
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
        let mut arrived = arrival(key);
        arrived.at_ms = *at_ms;
        evidence.arrivals.push(arrived);
    }
    evidence
}

#[test]
fn rate_limit_detects_excess_requests_from_gateways_that_received_the_limit() {
    let nine: Vec<u64> = (0..9).map(|number| 2_000 + number * 400).collect();
    assert_eq!(
        check_rate_limit(&evidence_with_rate_limit(0, &nine)).len(),
        1
    );
    assert!(check_rate_limit(&evidence_with_rate_limit(0, &nine[1..])).is_empty());
    assert!(check_rate_limit(&evidence_with_rate_limit(1, &nine)).is_empty());
    let early: Vec<u64> = nine.iter().map(|at_ms| at_ms - 1).collect();
    assert!(check_rate_limit(&evidence_with_rate_limit(0, &early)).is_empty());
    let spread_out: Vec<u64> = nine
        .iter()
        .map(|at_ms| 2_000 + (at_ms - 2_000) * 2)
        .collect();
    assert!(check_rate_limit(&evidence_with_rate_limit(0, &spread_out)).is_empty());
    let after_limit: Vec<u64> = nine.iter().map(|at_ms| at_ms + 18_000).collect();
    assert!(check_rate_limit(&evidence_with_rate_limit(0, &after_limit)).is_empty());
    let mut excused = evidence_with_rate_limit(0, &nine);
    excused.troubles.push(GatewayFaultPeriod {
        gateway: 0,
        fault: GatewayFault::Freeze,
        from_ms: 1_600,
        to_ms: 1_610,
    });
    assert!(check_rate_limit(&excused).is_empty());
    let mut delayed = evidence_with_rate_limit(0, &nine);
    delayed.worker_troubles.push(WorkerLinkFaultPeriod {
        worker: "i-1".into(),
        from_ms: 1_000,
        to_ms: 1_900,
    });
    assert!(check_rate_limit(&delayed).is_empty());
}
