//! The cost model learns within a few observations, and outliers change it only a little.

use proptest::prelude::*;
use tansyhall_fixed_cases::config_with_seed;
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

/// The true cost on an engine: a fixed cost, a cost per request, and a cost per thousand tokens.
fn true_seconds(features: &[f64; 3], weights: &[f64; 3]) -> f64 {
    features.iter().zip(weights).map(|(f, w)| f * w).sum()
}

/// Features of the observation with this number: 0 to 9 requests and 0 to 12 thousand tokens.
fn sample(number: u32) -> [f64; 3] {
    [1.0, f64::from(number * 7 % 10), f64::from(number * 5 % 13)]
}

fn trained_model(weights: [f64; 3], observations: u32) -> CostModel<3> {
    let mut model = model();
    for number in 0..observations {
        let features = sample(number);
        model.learn(&features, true_seconds(&features, &weights));
    }
    model
}

#[test]
fn a_model_without_observations_uses_the_priors() {
    assert!((model().seconds(&[1.0, 2.0, 4.0]) - 0.127).abs() < 1e-9);
}

#[test]
fn engines_five_times_faster_or_slower_are_learnt_within_forty_observations() {
    for factor in [0.2, 1.0, 5.0] {
        let weights = [0.015 * factor, 0.006 * factor, 0.025 * factor];
        let model = trained_model(weights, 40);
        for number in 0..20 {
            let features = sample(number);
            let ratio = model.seconds(&features) / true_seconds(&features, &weights);
            assert!((0.9..1.1).contains(&ratio), "{factor}: {ratio}");
        }
    }
}

#[test]
fn one_frozen_worker_increases_the_expected_cost_by_less_than_half() {
    let weights = [0.008, 0.001, 0.004];
    let mut model = trained_model(weights, 200);
    let features = [1.0, 3.0, 5.0];
    model.learn(&features, 20.0);
    let ratio = model.seconds(&features) / true_seconds(&features, &weights);
    assert!((1.0..1.5).contains(&ratio), "{ratio}");
}

#[test]
fn values_that_are_not_finite_are_ignored() {
    let mut model = model();
    model.learn(&[1.0, 0.0, f64::NAN], 0.1);
    model.learn(&[1.0, 0.0, 1.0], f64::INFINITY);
    assert!((model.seconds(&[1.0, 2.0, 4.0]) - 0.127).abs() < 1e-9);
}

proptest! {
    #![proptest_config(config_with_seed(SEED))]

    /// Whatever is observed, the expected cost is finite and not negative.
    #[test]
    fn expected_costs_stay_finite(rows in prop::collection::vec(
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
