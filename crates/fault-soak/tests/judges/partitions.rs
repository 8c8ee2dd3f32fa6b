//! The judges of partitions and silent workers accept correct evidence and detect violations of their rules.

use crate::records::{
    answer, arrival, broken_answer, evidence, key, plain_run, sent, with_outcome,
};
use tansyhall_fault_soak::judges::{check_lost, check_recover};
use tansyhall_fault_soak::{
    judge, BrokenAnswer, Evidence, GatewayFault, GatewayFaultPeriod, Outcome, PartitionPeriod,
    RouteKind, Rule, SentRequest, WorkerLinkFaultPeriod, WorkerSilencePeriod,
};
use tansyhall_testing::Partition;

const WORKER: &str = "i-1";
/// Start and end of a partition of the first gateway.
const PARTITION_MS: (u64, u64) = (1_000, 6_000);

fn fault_period(
    gateway: usize,
    fault: GatewayFault,
    from_ms: u64,
    to_ms: u64,
) -> GatewayFaultPeriod {
    GatewayFaultPeriod {
        gateway,
        fault,
        from_ms,
        to_ms,
    }
}

fn partition_of(gateway: usize) -> PartitionPeriod {
    PartitionPeriod {
        gateway,
        partition: Partition::Reset,
        from_ms: PARTITION_MS.0,
        to_ms: PARTITION_MS.1,
    }
}

/// Returns 60 first tries at each of three gateways, from the start of a partition of the first one to its end, of
/// which the first gateway served this many of each six that it got after three seconds.
fn partitioned_evidence(served_of_six: u64) -> Evidence {
    let mut all = Vec::new();
    for number in 0..60 {
        let at_ms = PARTITION_MS.0 + number * 84;
        for gateway in 0..3 {
            let key = key(&format!("{gateway}-{number}"));
            let run = plain_run(1, key.clone());
            let mut request = sent(RouteKind::Repeatable, key);
            request.gateway = gateway;
            request.at_ms = at_ms;
            request.ended_ms = at_ms + 20;
            let is_early = at_ms < PARTITION_MS.0 + 3_000;
            if gateway > 0 || (!is_early && number % 6 < served_of_six) {
                request = with_outcome(request, answer(&run));
            }
            all.push(request);
        }
    }
    let mut evidence = evidence(all, Vec::new());
    evidence.partitions.push(partition_of(0));
    evidence
}

#[test]
fn recover_accepts_a_gateway_that_serves_two_thirds_after_three_seconds() {
    assert!(check_recover(&partitioned_evidence(6)).is_empty());
    assert!(check_recover(&partitioned_evidence(4)).is_empty());
}

#[test]
fn recover_detects_a_gateway_that_serves_less() {
    for served in [0, 3] {
        let violations = check_recover(&partitioned_evidence(served));
        assert_eq!(violations.len(), 1, "served {served} of 6");
        assert_eq!(violations[0].rule, Rule::Recover);
    }
    let rules = judge(&partitioned_evidence(0));
    assert!(rules
        .iter()
        .any(|violation| violation.rule == Rule::Recover));
}

#[test]
fn recover_detects_each_of_two_partitioned_gateways() {
    let mut evidence = partitioned_evidence(0);
    for request in evidence.sent.iter_mut().filter(|sent| sent.gateway == 1) {
        request.outcome = Outcome::NoAnswer { why: "cut".into() };
    }
    evidence.partitions.push(partition_of(1));
    assert_eq!(check_recover(&evidence).len(), 2);
}

#[test]
fn recover_judges_only_first_tries_that_are_not_abandoned() {
    let changes: [fn(&mut SentRequest); 2] = [
        |sent| sent.is_first_try = false,
        |sent| sent.patience_ms = 10,
    ];
    for change in changes {
        let mut evidence = partitioned_evidence(0);
        evidence.sent.iter_mut().for_each(change);
        assert!(check_recover(&evidence).is_empty());
    }
}

#[test]
fn recover_excuses_other_faults_of_the_gateway_or_of_every_relay() {
    let mut disturbed = partitioned_evidence(0);
    let fault = fault_period(0, GatewayFault::Kill, 3_500, 5_900);
    disturbed.troubles.push(fault);
    assert!(check_recover(&disturbed).is_empty());
    let mut unreachable = partitioned_evidence(0);
    let fault = fault_period(0, GatewayFault::Link, 3_500, 5_900);
    unreachable.caller_link_troubles.push(fault);
    assert!(check_recover(&unreachable).is_empty());
    let mut one_relay = partitioned_evidence(0);
    let fault = fault_period(1, GatewayFault::Freeze, 3_500, 5_900);
    one_relay.troubles.push(fault);
    assert_eq!(check_recover(&one_relay).len(), 1, "another relay is left");
    one_relay.partitions.push(partition_of(2));
    assert!(check_recover(&one_relay).is_empty());
}

#[test]
fn recover_compares_no_small_numbers() {
    let mut evidence = partitioned_evidence(0);
    evidence.partitions[0].to_ms = PARTITION_MS.0 + 3_500;
    assert!(check_recover(&evidence).is_empty());
}

/// Returns a request that reached a worker, with an incomplete answer or none, while the worker was silent.
fn lost_evidence(has_answer: bool) -> Evidence {
    let run = plain_run(1, key("a"));
    let mut request = sent(RouteKind::Once, key("a"));
    request.at_ms = 5_000;
    request.ended_ms = 6_200;
    request.patience_ms = 3_000;
    if has_answer {
        request = with_outcome(request, answer(&run));
        if let Outcome::Answer(answer) = &mut request.outcome {
            answer.body.truncate(4);
            answer.is_whole = false;
        }
    }
    let mut evidence = evidence(vec![request], vec![run]);
    let mut arrival = arrival(key("a"));
    arrival.at_ms = 5_010;
    evidence.arrivals.push(arrival);
    evidence.silences.push(WorkerSilencePeriod {
        worker: WORKER.into(),
        from_ms: 5_020,
        to_ms: 6_500,
    });
    evidence
}

#[test]
fn lost_detects_an_answer_that_ends_because_of_a_silent_worker() {
    for has_answer in [false, true] {
        let violations = check_lost(&lost_evidence(has_answer));
        assert_eq!(violations.len(), 1, "answer begun: {has_answer}");
        assert_eq!(violations[0].rule, Rule::Lost);
        let all = judge(&lost_evidence(has_answer));
        assert!(all.iter().any(|violation| violation.rule == Rule::Lost));
    }
}

#[test]
fn lost_accepts_complete_answers_and_requests_that_reached_no_worker() {
    let mut complete = lost_evidence(true);
    if let Outcome::Answer(answer) = &mut complete.sent[0].outcome {
        answer.is_whole = true;
        answer.status = 502;
    }
    assert!(check_lost(&complete).is_empty());
    let mut unread = lost_evidence(false);
    unread.arrivals.clear();
    assert!(check_lost(&unread).is_empty());
}

/// Guards against taking the arrival of a caller's next try at another gateway, in the same millisecond, for one of the
/// request that was cut off before.
#[test]
fn lost_attributes_an_arrival_to_the_later_try() {
    let mut evidence = lost_evidence(false);
    let mut later = evidence.sent[0].clone();
    later.gateway = 1;
    later.at_ms = evidence.sent[0].ended_ms;
    later.ended_ms = later.at_ms + 50;
    later.outcome = Outcome::Garbage {
        bytes: String::new(),
    };
    evidence.arrivals[0].at_ms = later.at_ms;
    evidence.sent.push(later);
    assert!(check_lost(&evidence).is_empty());
    evidence.arrivals[0].at_ms -= 1;
    assert_eq!(
        check_lost(&evidence).len(),
        1,
        "arrived before the later try"
    );
}

#[test]
fn lost_excuses_the_deadline() {
    let mut evidence = lost_evidence(true);
    evidence.sent[0].ended_ms = 8_000;
    assert!(check_lost(&evidence).is_empty());
}

#[test]
fn lost_excuses_answers_that_a_worker_broke() {
    for id in [Some("a".to_owned()), None] {
        let mut evidence = lost_evidence(true);
        let broken = BrokenAnswer {
            worker: WORKER.into(),
            id,
            at_ms: 6_000,
        };
        evidence.broken_answers.push(broken);
        assert!(check_lost(&evidence).is_empty());
        evidence.broken_answers[0].at_ms = 1_000;
        assert_eq!(check_lost(&evidence).len(), 1, "broken long before");
    }
    let mut of_another = lost_evidence(true);
    of_another.broken_answers.push(BrokenAnswer {
        at_ms: 6_000,
        ..broken_answer("b")
    });
    assert_eq!(check_lost(&of_another).len(), 1);
}

#[test]
fn lost_excuses_abrupt_faults_of_the_gateway_and_of_links_but_not_a_graceful_stop() {
    for fault in [GatewayFault::Kill, GatewayFault::Freeze, GatewayFault::Link] {
        let mut evidence = lost_evidence(true);
        evidence.troubles.push(fault_period(0, fault, 6_000, 7_000));
        assert!(check_lost(&evidence).is_empty(), "{fault:?}");
    }
    let mut stopped = lost_evidence(true);
    let stop = fault_period(0, GatewayFault::Stop, 6_000, 7_000);
    stopped.troubles.push(stop);
    assert_eq!(check_lost(&stopped).len(), 1);
    let mut linked = lost_evidence(true);
    let fault = fault_period(0, GatewayFault::Link, 6_000, 7_000);
    linked.caller_link_troubles.push(fault);
    assert!(check_lost(&linked).is_empty());
    let mut of_worker = lost_evidence(true);
    of_worker.worker_troubles.push(WorkerLinkFaultPeriod {
        worker: WORKER.into(),
        from_ms: 6_000,
        to_ms: 7_000,
    });
    assert!(check_lost(&of_worker).is_empty());
}

#[test]
fn lost_excuses_the_beginning_of_a_partition_and_the_end_of_a_relay() {
    let mut beginning = lost_evidence(true);
    let mut partition = partition_of(0);
    partition.from_ms = 6_000;
    beginning.partitions.push(partition);
    assert!(check_lost(&beginning).is_empty());
    let mut relayed = lost_evidence(true);
    relayed.partitions.push(partition_of(0));
    assert_eq!(
        check_lost(&relayed).len(),
        1,
        "partitioned since long before"
    );
    let kill = fault_period(1, GatewayFault::Kill, 6_000, 7_000);
    relayed.troubles.push(kill);
    assert!(check_lost(&relayed).is_empty());
    relayed.partitions.clear();
    assert_eq!(check_lost(&relayed).len(), 1, "nothing is relayed");
}
