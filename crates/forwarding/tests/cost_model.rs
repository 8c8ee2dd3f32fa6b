//! Costs are learnt within a few observations, and wild ones do little harm.

use proptest::prelude::*;
use tansyhall_fixed_cases::fixed_cases;
use tansyhall_forwarding::cost_model::{CostModel, Prior};

/// Seed of the property tests.
const SEED: u64 = 20_261_202;

fn model() -> CostModel<3> {
    let prior = |weight| Prior {
        weight,
        deviation: 2.0 * weight,
    };
    CostModel::new([prior(0.015), prior(0.006), prior(0.025)])
}

/// What an engine takes: a fixed part, one for each request, one for each thousand tokens.
fn truth(features: &[f64; 3], weights: &[f64; 3]) -> f64 {
    features.iter().zip(weights).map(|(f, w)| f * w).sum()
}

/// Features as they come: between no and nine requests, up to 12,000 tokens.
fn sample(number: u32) -> [f64; 3] {
    [1.0, f64::from(number * 7 % 10), f64::from(number * 5 % 13)]
}

fn taught(weights: [f64; 3], observations: u32) -> CostModel<3> {
    let mut model = model();
    for number in 0..observations {
        let features = sample(number);
        model.learn(&features, truth(&features, &weights));
    }
    model
}

#[test]
fn nothing_observed_leaves_the_prior() {
    assert!((model().seconds(&[1.0, 2.0, 4.0]) - 0.127).abs() < 1e-9);
}

#[test]
fn engines_five_times_faster_and_slower_are_learnt_within_forty_observations() {
    for factor in [0.2, 1.0, 5.0] {
        let weights = [0.015 * factor, 0.006 * factor, 0.025 * factor];
        let model = taught(weights, 40);
        for number in 0..20 {
            let features = sample(number);
            let ratio = model.seconds(&features) / truth(&features, &weights);
            assert!((0.9..1.1).contains(&ratio), "{factor}: {ratio}");
        }
    }
}

#[test]
fn one_frozen_worker_moves_an_expectation_by_less_than_a_half() {
    let weights = [0.008, 0.001, 0.004];
    let mut model = taught(weights, 200);
    let features = [1.0, 3.0, 5.0];
    model.learn(&features, 20.0);
    let ratio = model.seconds(&features) / truth(&features, &weights);
    assert!((1.0..1.5).contains(&ratio), "{ratio}");
}

#[test]
fn what_is_no_number_is_not_learnt() {
    let mut model = model();
    model.learn(&[1.0, 0.0, f64::NAN], 0.1);
    model.learn(&[1.0, 0.0, 1.0], f64::INFINITY);
    assert!((model.seconds(&[1.0, 2.0, 4.0]) - 0.127).abs() < 1e-9);
}

proptest! {
    #![proptest_config(fixed_cases(SEED))]

    /// Whatever is observed, an expectation stays finite and is never negative.
    #[test]
    fn expectations_stay_finite(rows in prop::collection::vec(
        (0.0..100.0_f64, 0.0..100.0_f64, 0.0..60.0_f64), 0..300,
    )) {
        let mut model = model();
        for (requests, tokens, seconds) in rows {
            model.learn(&[1.0, requests, tokens], seconds);
            let expected = model.seconds(&[1.0, requests, tokens]);
            prop_assert!(expected.is_finite() && expected >= 0.0);
        }
    }
}
