//! A refused connection counts as the end of a worker only if it is not explained by a fault of the path.

use std::collections::BTreeMap;
use std::time::Duration;

use proptest::prelude::*;
use tansyhall_core::Timestamp;
use tansyhall_fixed_cases::config_with_seed;
use tansyhall_forwarding::worker_evidence::MAX_EXAMINATIONS;
use tansyhall_forwarding::{
    ComparableWorker, ConnectionRefusalCause, ConnectionRefusalStep, Reachability, WorkerEvidence,
    WorkerId,
};
use Reachability::{Connected, Refused, Unknown};

const SEED: u64 = 41;
const START: Timestamp = Timestamp::from_millis(1_000);
/// Longer than a result applies to further refusals by the same worker, and shorter than its entry remains in the store.
const LATER: Duration = Duration::from_secs(2);

fn worker(number: usize) -> WorkerId {
    WorkerId::from(format!("w-{number}").as_str())
}

fn others(numbers: impl IntoIterator<Item = usize>) -> Vec<ComparableWorker> {
    let same_zone = numbers.into_iter().map(|number| ComparableWorker {
        worker: worker(number),
        is_same_zone: true,
    });
    same_zone.collect()
}

/// Workers as one gateway reaches them, and its evidence.
struct Gateway {
    evidence: WorkerEvidence,
    reachability: BTreeMap<usize, Reachability>,
}

impl Gateway {
    fn new(reachability: &[Reachability]) -> Self {
        Self {
            evidence: WorkerEvidence::default(),
            reachability: reachability.iter().copied().enumerate().collect(),
        }
    }

    fn begin(&mut self, now: Timestamp, number: usize) -> ConnectionRefusalStep {
        let others = others(self.reachability.keys().copied());
        self.evidence
            .record_refusal(now, &worker(number), || others)
    }

    /// Examines a refusal by a worker about which other gateways find out `by_gateways`.
    fn examine(
        &mut self,
        now: Timestamp,
        number: usize,
        by_gateways: Reachability,
    ) -> Option<ConnectionRefusalCause> {
        let compared = match self.begin(now, number) {
            ConnectionRefusalStep::Examine(compared) => compared,
            ConnectionRefusalStep::Known(cause) => return Some(cause),
            ConnectionRefusalStep::Ignore => return None,
        };
        let mut cause = self
            .evidence
            .record_gateways_finding(now, &worker(number), by_gateways);
        for (other, reachability) in &self.reachability {
            let other = worker(*other);
            if compared.contains(&other) {
                let known =
                    self.evidence
                        .record_comparison(now, &worker(number), &other, *reachability);
                cause = cause.or(known);
            }
        }
        cause
    }
}

#[test]
fn a_worker_that_another_gateway_reaches_has_not_ended() {
    for reachability in [Connected, Refused, Unknown] {
        let mut gateway = Gateway::new(&[Refused, reachability]);
        let cause = gateway.examine(START, 0, Connected);
        assert_eq!(
            cause,
            Some(ConnectionRefusalCause::PathFault),
            "{reachability:?}"
        );
    }
}

#[test]
fn one_refusing_worker_among_reachable_ones_has_ended() {
    for by_gateways in [Refused, Unknown] {
        let mut gateway = Gateway::new(&[Refused, Connected, Refused]);
        let cause = gateway.examine(START, 0, by_gateways);
        assert_eq!(
            cause,
            Some(ConnectionRefusalCause::WorkerEnded),
            "{by_gateways:?}"
        );
    }
}

/// Other gateways may be separated from the workers by the same fault, so that they see the same refusals.
#[test]
fn workers_that_all_refuse_at_once_have_not_ended() {
    for by_gateways in [Refused, Unknown] {
        let mut gateway = Gateway::new(&[Refused; 4]);
        for number in 0..4 {
            let cause = gateway.examine(START, number, by_gateways);
            assert_eq!(
                cause,
                Some(ConnectionRefusalCause::PathFault),
                "{by_gateways:?}"
            );
        }
    }
}

#[test]
fn the_refusal_of_the_only_worker_is_its_end() {
    for by_gateways in [Refused, Unknown] {
        let mut gateway = Gateway::new(&[Refused]);
        let cause = gateway.examine(START, 0, by_gateways);
        assert_eq!(
            cause,
            Some(ConnectionRefusalCause::WorkerEnded),
            "{by_gateways:?}"
        );
    }
}

#[test]
fn without_a_comparison_the_refusal_needs_a_confirmation() {
    let expectations = [
        (Refused, ConnectionRefusalCause::WorkerEnded),
        (Unknown, ConnectionRefusalCause::PathFault),
    ];
    for (by_gateways, expected) in expectations {
        let mut gateway = Gateway::new(&[Refused, Unknown, Unknown]);
        let cause = gateway.examine(START, 0, by_gateways);
        assert_eq!(cause, Some(expected), "{by_gateways:?}");
    }
}

/// A request that ends one worker after another must be recognised although no worker is left in the end.
#[test]
fn all_ends_count_if_workers_end_one_after_another() {
    const WORKERS: usize = 4;
    let mut gateway = Gateway::new(&[Connected; WORKERS]);
    for number in 0..WORKERS {
        gateway.reachability.insert(number, Refused);
        let now = START + Duration::from_millis(100) * u32::try_from(number).expect("few workers");
        let cause = gateway.examine(now, number, Unknown);
        assert_eq!(
            cause,
            Some(ConnectionRefusalCause::WorkerEnded),
            "worker {number}"
        );
    }
}

#[test]
fn workers_of_the_same_zone_are_compared_if_there_are_any() {
    let mut evidence = WorkerEvidence::default();
    let mut candidates = others([1, 2, 3]);
    candidates[0].is_same_zone = false;
    let step = evidence.record_refusal(START, &worker(0), || candidates.clone());
    assert_eq!(
        step,
        ConnectionRefusalStep::Examine(vec![worker(2), worker(3)])
    );
    candidates.truncate(1);
    let step = evidence.record_refusal(START, &worker(4), || candidates);
    assert_eq!(step, ConnectionRefusalStep::Examine(vec![worker(1)]));
}

#[test]
fn a_refusal_is_examined_once_and_its_result_is_used_for_a_while() {
    let mut gateway = Gateway::new(&[Refused, Connected]);
    assert_eq!(
        gateway.begin(START, 0),
        ConnectionRefusalStep::Examine(vec![worker(1)])
    );
    assert_eq!(gateway.begin(START, 0), ConnectionRefusalStep::Ignore);
    let evidence = &mut gateway.evidence;
    let open = evidence.record_gateways_finding(START, &worker(0), Unknown);
    assert_eq!(open, None);
    let cause = evidence.record_comparison(START, &worker(0), &worker(1), Connected);
    assert_eq!(cause, Some(ConnectionRefusalCause::WorkerEnded));
    let known = ConnectionRefusalStep::Known(ConnectionRefusalCause::WorkerEnded);
    assert_eq!(gateway.begin(START, 0), known);
    let again = gateway.begin(START + LATER, 0);
    assert_eq!(again, ConnectionRefusalStep::Examine(vec![worker(1)]));
}

#[test]
fn the_number_of_examinations_in_progress_is_bounded() {
    let mut gateway = Gateway::new(&[Refused; MAX_EXAMINATIONS + 2]);
    for number in 0..MAX_EXAMINATIONS {
        let step = gateway.begin(START, number);
        assert!(
            matches!(step, ConnectionRefusalStep::Examine(_)),
            "{step:?}"
        );
    }
    assert_eq!(
        gateway.begin(START, MAX_EXAMINATIONS),
        ConnectionRefusalStep::Ignore
    );
    let cause = gateway
        .evidence
        .record_gateways_finding(START, &worker(0), Connected);
    assert_eq!(cause, Some(ConnectionRefusalCause::PathFault));
    let step = gateway.begin(START, MAX_EXAMINATIONS);
    assert!(
        matches!(step, ConnectionRefusalStep::Examine(_)),
        "{step:?}"
    );
}

fn reachability() -> impl Strategy<Value = Reachability> {
    prop_oneof![Just(Connected), Just(Refused), Just(Unknown)]
}

proptest! {
    #![proptest_config(config_with_seed(SEED))]

    /// In any order of the findings, each examination has exactly one result. A worker that other gateways reach never
    /// counts as ended, nor does one of several that refuse while none is reached.
    #[test]
    fn the_cause_does_not_depend_on_the_order_of_findings(
        compared in prop::collection::vec(reachability(), 0..3),
        by_gateways in reachability(),
        gateways_answer_after in 0_usize..4,
    ) {
        let mut evidence = WorkerEvidence::default();
        let suspect = worker(0);
        let step = evidence.record_refusal(START, &suspect, || others(1..=compared.len()));
        let expected_compared = (1..=compared.len()).map(worker).collect();
        prop_assert_eq!(step, ConnectionRefusalStep::Examine(expected_compared));
        let answer_position = gateways_answer_after.min(compared.len());
        let mut causes = Vec::new();
        for position in 0..=compared.len() {
            if position == answer_position {
                causes.extend(evidence.record_gateways_finding(START, &suspect, by_gateways));
            }
            if let Some(finding) = compared.get(position) {
                let other = worker(position + 1);
                causes.extend(evidence.record_comparison(START, &suspect, &other, *finding));
            }
        }
        let reaches_other = compared.contains(&Connected);
        let others_refuse = compared.contains(&Refused);
        let has_ended = by_gateways != Connected
            && (compared.is_empty()
                || reaches_other
                || by_gateways == Refused && !others_refuse);
        let expected = match has_ended {
            true => ConnectionRefusalCause::WorkerEnded,
            false => ConnectionRefusalCause::PathFault,
        };
        prop_assert_eq!(causes, vec![expected]);
    }
}
