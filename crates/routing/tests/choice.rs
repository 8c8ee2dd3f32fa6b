//! Properties of the choice of engines for a request.

use proptest::prelude::*;
use tansyhall_core::{EngineName, NodeId, RequestId, Role, Timestamp};
use tansyhall_routing::{
    choose, followed_engines, Choice, ChoiceSettings, EngineEstimate, EngineTracker, LoadSnapshot,
    Placement, RequestEstimate, ServiceRates,
};

const RATES: ServiceRates = ServiceRates {
    iteration: 0.004,
    prefill_token: 4e-5,
    decode_sequence: 2e-4,
    mixed_chunk: 512.0,
    prefill_chunk: 4_096.0,
    transfer_token: 1e-5,
};

fn idle_engine(role: Role) -> EngineEstimate {
    EngineEstimate {
        role,
        accepts_work: true,
        decoding: 0.0,
        waiting: 0.0,
        pending_prefill_tokens: 0.0,
        free_sequences: 64.0,
        prefill_rate: 0.0,
        cached_tokens: 0.0,
    }
}

fn request(prompt: f64, output: f64) -> RequestEstimate {
    RequestEstimate {
        prefill_tokens: prompt,
        prompt_tokens: prompt,
        output_tokens: output,
    }
}

fn choose_with_defaults(
    engines: &[EngineEstimate],
    request: &RequestEstimate,
    time_left: f64,
) -> Choice {
    choose(
        &RATES,
        &ChoiceSettings::default(),
        engines,
        request,
        time_left,
    )
}

#[test]
fn a_long_prompt_avoids_the_engine_with_answers_in_progress() {
    let generating = EngineEstimate {
        decoding: 20.0,
        ..idle_engine(Role::Mixed)
    };
    let prefilling = EngineEstimate {
        pending_prefill_tokens: 2_000.0,
        ..idle_engine(Role::Mixed)
    };
    let chosen = choose_with_defaults(&[generating, prefilling], &request(6_000.0, 40.0), 10.0);
    assert!(
        matches!(
            chosen,
            Choice::Send {
                placement: Placement::Single(1),
                ..
            }
        ),
        "{chosen:?}"
    );
}

#[test]
fn a_request_that_no_engine_can_serve_in_time_is_refused_with_a_retry_time() {
    let full = EngineEstimate {
        pending_prefill_tokens: 1e6,
        ..idle_engine(Role::Mixed)
    };
    let chosen = choose_with_defaults(&[full], &request(100.0, 10.0), 2.0);
    let Choice::Refuse { retry_after } = chosen else {
        panic!("{chosen:?}");
    };
    assert!(retry_after.as_secs() >= 30);
}

#[test]
fn a_split_needs_both_a_prefill_and_a_decode_engine() {
    let without_decode_engine =
        choose_with_defaults(&[idle_engine(Role::Prefill)], &request(100.0, 10.0), 10.0);
    assert_eq!(without_decode_engine, Choice::NoEngine);
    let pair = choose_with_defaults(
        &[idle_engine(Role::Prefill), idle_engine(Role::Decode)],
        &request(100.0, 10.0),
        10.0,
    );
    let expected = Placement::Split {
        prefill: 0,
        decode: 1,
    };
    assert!(matches!(pair, Choice::Send { placement, .. } if placement == expected));
}

#[test]
fn a_report_replaces_requests_sent_before_it_and_keeps_those_sent_after_it() {
    let mut tracker = EngineTracker::new(Role::Mixed, 64.0, 1);
    let at = Timestamp::from_millis;
    tracker.record_sent(at(10), RequestId(1), 500.0);
    tracker.record_sent(at(100), RequestId(2), 300.0);
    tracker.record_report(LoadSnapshot {
        taken_at: at(50),
        decoding: 3.0,
        waiting: 2.0,
        pending_prefill_tokens: 900.0,
        free_sequences: 59.0,
        accepted_prompt_tokens: 900.0,
    });
    let estimate = tracker.estimate(at(120));
    assert_eq!(estimate.waiting, 3.0);
    assert_eq!(estimate.pending_prefill_tokens, 1_200.0);
    tracker.record_first_token(at(130), RequestId(1));
    let estimate = tracker.estimate(at(140));
    assert_eq!(estimate.decoding, 4.0);
    assert_eq!(estimate.pending_prefill_tokens, 700.0);
    tracker.record_finished(at(150), RequestId(1));
    assert_eq!(tracker.estimate(at(160)).decoding, 3.0);
    assert_eq!(tracker.in_flight(), 1);
}

#[test]
fn a_report_older_than_the_last_one_is_ignored() {
    let mut tracker = EngineTracker::new(Role::Mixed, 64.0, 1);
    let report = |taken_ms, decoding| LoadSnapshot {
        taken_at: Timestamp::from_millis(taken_ms),
        decoding,
        free_sequences: 64.0,
        ..LoadSnapshot::default()
    };
    tracker.record_report(report(100, 5.0));
    tracker.record_report(report(90, 50.0));
    assert_eq!(tracker.estimate(Timestamp::from_millis(200)).decoding, 5.0);
}

fn estimates() -> impl Strategy<Value = Vec<EngineEstimate>> {
    let role = prop::sample::select(Role::ALL.to_vec());
    let engine = (
        role,
        any::<bool>(),
        0.0..80.0,
        0.0..50.0,
        0.0..1e6,
        -50.0..64.0,
        0.0..1e6,
    );
    let engine = engine.prop_map(
        |(role, accepts_work, decoding, waiting, pending, free_sequences, prefill_rate)| {
            EngineEstimate {
                role,
                accepts_work,
                decoding,
                waiting,
                pending_prefill_tokens: pending,
                free_sequences,
                prefill_rate,
                cached_tokens: 0.0,
            }
        },
    );
    prop::collection::vec(engine, 0..20)
}

proptest! {
    #[test]
    fn a_choice_names_only_engines_that_accept_the_work(
        engines in estimates(), prompt in 1.0..1e5, output in 1.0..5e3, time_left in 0.0..60.0,
    ) {
        let chosen = choose_with_defaults(&engines, &request(prompt, output), time_left);
        if let Choice::Send { placement, prediction } = chosen {
            prop_assert!(prediction.last_token.is_finite() && prediction.last_token >= 0.0);
            match placement {
                Placement::Single(engine) => {
                    prop_assert!(engines[engine].accepts_work);
                    prop_assert_eq!(engines[engine].role, Role::Mixed);
                }
                Placement::Split { prefill, decode } => {
                    prop_assert!(engines[prefill].accepts_work && engines[decode].accepts_work);
                    prop_assert_eq!(engines[prefill].role, Role::Prefill);
                    prop_assert_eq!(engines[decode].role, Role::Decode);
                }
            }
        }
    }

    #[test]
    fn a_subset_is_bounded_and_changes_little_when_an_engine_leaves(
        count in 1_usize..60, limit in 1_usize..20, removed in 0_usize..60,
    ) {
        let engines: Vec<EngineName> =
            (0..count).map(|index| EngineName::new(format!("engine-{index}"))).collect();
        let node = NodeId::from("node-7");
        let before = followed_engines(&node, &engines, limit);
        prop_assert_eq!(before.len(), count.min(limit));
        let remaining: Vec<&EngineName> =
            engines.iter().enumerate().filter(|(i, _)| *i != removed).map(|(_, e)| e).collect();
        let after = followed_engines(&node, remaining, limit);
        let added = after.iter().filter(|engine| !before.contains(engine)).count();
        prop_assert!(added <= 1);
    }
}
