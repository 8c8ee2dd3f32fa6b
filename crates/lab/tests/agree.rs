//! What the comparison of a real and an emulated run says.

use std::time::Duration;

use tansyhall_lab::agree::{emulate, Agreement, Figures};
use tansyhall_load::{Summary, Workload};

fn figures(goodput: f64, milliseconds: f64) -> Figures {
    Figures {
        requests: 100,
        goodput,
        rejected: 0,
        p50_first_token_ms: milliseconds,
        p95_first_token_ms: milliseconds,
        p50_whole_ms: milliseconds,
        p95_whole_ms: milliseconds,
    }
}

#[test]
fn runs_agree_within_a_tenth() {
    let emulated = figures(0.8, 100.0);
    let near = Agreement::new(figures(0.75, 109.0), emulated);
    assert!(near.within_tolerance);
    assert!((near.ratios.p95_whole - 1.09).abs() < 1e-9);
    assert!(!Agreement::new(figures(0.8, 111.0), emulated).within_tolerance);
    assert!(!Agreement::new(figures(0.71, 100.0), emulated).within_tolerance);
}

#[test]
fn figures_of_a_load_count_what_met_its_deadline() {
    let summary = Summary {
        requests: 200,
        completed: 190,
        in_deadline: 150,
        not_run: 10,
        p50_whole_ms: 290,
        ..Summary::default()
    };
    let figures = Figures::of_load(&summary);
    assert_eq!(figures.goodput, 0.75);
    assert_eq!(figures.rejected, 10);
    assert_eq!(figures.p50_whole_ms, 290.0);
}

#[test]
fn an_emulated_load_is_the_same_each_time() {
    let load = Workload::named("mix-shift", Duration::from_secs(20), 3).expect("a load");
    let first = emulate(&load);
    assert!(first.requests > 0);
    assert!(first.p50_first_token_ms > 0.0);
    assert!(first.p50_whole_ms > first.p50_first_token_ms);
    assert_eq!(first, emulate(&load));
}
