//! `tansyhall check` accepts settings rendered from the deployed template, and refuses invalid settings with the key, the
//! value and the allowed values.

use std::process::Command;

use serde_json::{json, Value};
use tansyhall_platform_standin::render;

const TEMPLATE: &str = include_str!("../../../deploy/node.toml");

fn render_settings(ratio: f64) -> String {
    render_with_bounds(ratio, json!({}))
}

/// Renders settings with further bounds.
fn render_with_bounds(ratio: f64, bounds: Value) -> String {
    let mut fields = json!({
        "node": "gateway-1",
        "zone": "kalimati",
        "ip": "10.1.0.35",
        "limits": { "cores": 1 },
        "listen": {
            "front": "10.1.0.35:8144", "ready": "10.1.0.35:8140", "control": "10.1.0.35:8146",
        },
        "port_range": [7660, 7675],
        "seeds": ["10.1.0.35:8146", "10.2.0.28:8146"],
        "provider": { "address": "10.200.1.7:8142" },
        "bounds": {
            "retry_budget_ratio": ratio, "budget_extra": 54, "budget_window_s": 10, "grace_s": 8,
        },
    });
    for (name, value) in bounds.as_object().expect("an object") {
        fields["bounds"][name] = value.clone();
    }
    render(TEMPLATE, &fields).expect("a template")
}

struct CheckResult {
    code: Option<i32>,
    errors: String,
}

fn check(settings: &str) -> CheckResult {
    let directory = tempfile::tempdir().expect("a directory");
    let file = directory.path().join("node.toml");
    std::fs::write(&file, settings).expect("the file is written");
    let output = Command::new(env!("CARGO_BIN_EXE_tansyhall"))
        .arg("check")
        .arg(&file)
        .output()
        .expect("tansyhall runs");
    CheckResult {
        code: output.status.code(),
        errors: String::from_utf8_lossy(&output.stderr).into_owned(),
    }
}

#[test]
fn rendered_settings_are_accepted() {
    let result = check(&render_settings(0.2));
    assert_eq!(result.code, Some(0), "{}", result.errors);
}

/// Guards against bounds in milliseconds that are rendered as an invalid number of seconds.
#[test]
fn the_drain_time_is_rendered_in_seconds() {
    for (drain_ms, expected) in [(json!(3000), "3000e-3"), (json!(2700.5), "2700.5e-3")] {
        let settings = render_with_bounds(0.2, json!({ "drain_ms": drain_ms }));
        let line = format!("drain_seconds = {expected}\n");
        assert!(settings.contains(&line), "{settings}");
        let result = check(&settings);
        assert_eq!(result.code, Some(0), "{}", result.errors);
    }
    assert!(render_settings(0.2).contains("drain_seconds = 0.0\n"));
}

#[test]
fn invalid_settings_are_refused() {
    let result = check(&render_settings(7.5));
    assert_eq!(result.code, Some(2));
    let expected = "retries.ratio = 7.5: must be 0 to 1";
    assert!(result.errors.contains(expected), "{}", result.errors);
    let result = check(&render_settings(0.2).replace("10.1.0.35:8144", "nowhere"));
    assert_eq!(result.code, Some(2));
    assert!(result.errors.contains("callers"), "{}", result.errors);
}
