//! The comparison of a real with an emulated run: the tolerance of the ratios, the figures of a load
//! and the reproducibility of the emulation.

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
fn runs_agree_if_every_ratio_is_within_a_tenth_of_one() {
    let emulated = figures(0.8, 100.0);
    let within = Agreement::new(figures(0.75, 109.0), emulated);
    assert!(within.within_tolerance);
    assert!((within.ratios.p95_whole - 1.09).abs() < 1e-9);
    assert!(!Agreement::new(figures(0.8, 111.0), emulated).within_tolerance);
    assert!(!Agreement::new(figures(0.71, 100.0), emulated).within_tolerance);
}

#[test]
fn goodput_of_a_load_counts_requests_that_met_their_deadline() {
    let summary = Summary {
        requests: 200,
        completed: 190,
        in_deadline: 150,
        not_run: 10,
        p50_whole_ms: 290,
        ..Summary::default()
    };
    let figures = Figures::from_load_summary(&summary);
    assert_eq!(figures.goodput, 0.75);
    assert_eq!(figures.rejected, 10);
    assert_eq!(figures.p50_whole_ms, 290.0);
}

#[test]
fn emulating_the_same_load_gives_the_same_figures() {
    let load = Workload::named("mix-shift", Duration::from_secs(20), 3)
        .expect("mix-shift is a known load");
    let first = emulate(&load);
    assert!(first.requests > 0);
    assert!(first.p50_first_token_ms > 0.0);
    assert!(first.p50_whole_ms > first.p50_first_token_ms);
    assert_eq!(first, emulate(&load));
}
