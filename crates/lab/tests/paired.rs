//! Runs are paired by site, day and seed; runs without a counterpart are ignored.

use tansyhall_lab::paired::comparison::{pair, summarise};
use tansyhall_lab::paired::journal::{self, DayRun};

fn day_run(day: &str, seed: u64, score: f64, reason: &str) -> DayRun {
    DayRun {
        site: "site".into(),
        day: day.into(),
        seed,
        score,
        passed: true,
        reason: reason.into(),
    }
}

#[test]
fn runs_are_paired_by_day_and_seed_and_repeated_runs_are_averaged() {
    let runs = [
        day_run("quiet", 1, 0.50, "baseline"),
        day_run("quiet", 2, 0.40, "baseline"),
        day_run("quiet", 1, 0.60, "round 3"),
        day_run("quiet", 1, 0.70, "round 3"),
        day_run("busy", 9, 0.90, "round 3"),
    ];
    let pairs = pair(&runs, "baseline", "round 3");
    assert_eq!(pairs.len(), 1);
    assert!((pairs[0].after - 0.65).abs() < 1e-9);
    let summaries = summarise(&pairs);
    assert_eq!(summaries.len(), 2);
    assert!((summaries[0].difference - 0.15).abs() < 1e-9);
}

#[test]
fn a_rule_violation_is_counted() {
    let mut failed = day_run("quiet", 1, 0.6, "after");
    failed.passed = false;
    let pairs = pair(
        &[day_run("quiet", 1, 0.5, "before"), failed],
        "before",
        "after",
    );
    assert_eq!(summarise(&pairs)[0].failed_pairs, 1);
}

#[test]
fn journal_entries_are_read_and_entries_without_days_are_skipped() {
    let directory = tempfile::tempdir().expect("cannot create a temporary directory");
    let entry =
        r#"{"cmd":"run","site":"s","why":"w","days":[{"name":"d","seed":7,"G":0.5,"rules":{}}]}"#;
    std::fs::write(directory.path().join("1.json"), entry).expect("cannot write a journal entry");
    std::fs::write(directory.path().join("2.json"), r#"{"cmd":"hunt"}"#)
        .expect("cannot write a journal entry");
    let runs = journal::read(directory.path()).expect("cannot read the journal");
    assert_eq!(runs, [expected_run()]);
}

fn expected_run() -> DayRun {
    DayRun {
        site: "s".into(),
        day: "d".into(),
        seed: 7,
        score: 0.5,
        passed: true,
        reason: "w".into(),
    }
}
