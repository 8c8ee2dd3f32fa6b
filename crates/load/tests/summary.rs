//! Tests of the two forms of the summary: aligned text and JSON.

use tansyhall_load::Summary;

fn summary() -> Summary {
    Summary {
        requests: 200,
        completed: 190,
        in_deadline: 150,
        not_run: 10,
        role_changes: 2,
        p50_first_token_ms: 12,
        p95_first_token_ms: 340,
        p50_whole_ms: 290,
        p95_whole_ms: 1_200,
        ..Summary::default()
    }
}

#[test]
fn the_text_form_has_aligned_lines() {
    let expected = "\
requests              200
completed             190    95.0 %
  in deadline         150    75.0 %
not run                10     5.0 %
may have run            0     0.0 %
wrong answers           0     0.0 %
cut short               0     0.0 %
role changes            2
first token
  median               12 ms
  95th                340 ms
whole answer
  median              290 ms
  95th               1200 ms";
    assert_eq!(summary().to_string(), expected);
}

#[test]
fn the_json_form_has_every_field() {
    let json = serde_json::to_value(summary()).expect("JSON");
    let fields = [
        "requests",
        "completed",
        "in_deadline",
        "not_run",
        "may_have_run",
        "wrong_answers",
        "cut_short",
        "role_changes",
    ];
    for field in fields {
        assert!(json[field].is_u64(), "{field}");
    }
}
