//! Plays are paired by site, day and seed, and only those.

use tansyhall_lab::paired::comparison::{pair, summarise};
use tansyhall_lab::paired::journal::{self, Play};

fn play(day: &str, seed: u64, worth: f64, why: &str) -> Play {
    Play {
        site: "site".into(),
        day: day.into(),
        seed,
        worth,
        kept: true,
        why: why.into(),
    }
}

#[test]
fn days_are_paired_by_their_seed_and_repeated_plays_count_once() {
    let plays = [
        play("quiet", 1, 0.50, "baseline"),
        play("quiet", 2, 0.40, "baseline"),
        play("quiet", 1, 0.60, "round 3"),
        play("quiet", 1, 0.70, "round 3"),
        play("busy", 9, 0.90, "round 3"),
    ];
    let pairs = pair(&plays, "baseline", "round 3");
    assert_eq!(pairs.len(), 1);
    assert!((pairs[0].after - 0.65).abs() < 1e-9);
    let all = summarise(&pairs);
    assert_eq!(all.len(), 2);
    assert!((all[0].difference - 0.15).abs() < 1e-9);
}

#[test]
fn a_broken_rule_is_counted() {
    let mut broken = play("quiet", 1, 0.6, "after");
    broken.kept = false;
    let pairs = pair(
        &[play("quiet", 1, 0.5, "before"), broken],
        "before",
        "after",
    );
    assert_eq!(summarise(&pairs)[0].broken, 1);
}

#[test]
fn the_journals_entries_are_read() {
    let directory = tempfile::tempdir().expect("a directory");
    let entry =
        r#"{"cmd":"run","site":"s","why":"w","days":[{"name":"d","seed":7,"G":0.5,"rules":{}}]}"#;
    std::fs::write(directory.path().join("1.json"), entry).expect("written");
    std::fs::write(directory.path().join("2.json"), r#"{"cmd":"hunt"}"#).expect("written");
    let plays = journal::read(directory.path()).expect("plays");
    assert_eq!(plays, [play_read()]);
}

fn play_read() -> Play {
    Play {
        site: "s".into(),
        day: "d".into(),
        seed: 7,
        worth: 0.5,
        kept: true,
        why: "w".into(),
    }
}
