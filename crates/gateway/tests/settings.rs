//! Settings: what is accepted, and errors that name the key, the value and what is allowed.

use tansyhall_forwarding::Decisions;
use tansyhall_gateway::GatewaySettings;

const SETTINGS: &str = r#"
[node]
name = "gateway-1"
zone = "kalimati"
threads = 1

[listen]
callers = "127.0.0.1:1000"
ready = "127.0.0.1:1001"
peers = "127.0.0.1:1002"
load = "127.0.0.1:1003"
metrics = "127.0.0.1:1004"

[store]
address = "127.0.0.1:1005"
seeds = ["127.0.0.1:1006"]

[retries]
ratio = 0.2
extra = 54
window_seconds = 10

[stop]
grace_seconds = 8

[orders]
takeover_pause_seconds = 3.0
"#;

fn error_of(from: &str, to: &str) -> String {
    let text = SETTINGS.replace(from, to);
    assert_ne!(text, SETTINGS, "nothing was damaged");
    let error = GatewaySettings::parse("gateway.toml", &text).expect_err("a fault");
    error.to_string()
}

#[test]
fn whole_settings_are_accepted() {
    let settings = GatewaySettings::parse("gateway.toml", SETTINGS).expect("no fault");
    assert_eq!(settings.grace().as_millis(), 8_000);
    let unknown = format!("{SETTINGS}\n[later]\nkey = 1\n");
    assert!(GatewaySettings::parse("gateway.toml", &unknown).is_ok());
}

#[test]
fn usage_and_the_platforms_operations_may_be_left_out() {
    let without = GatewaySettings::parse("gateway.toml", SETTINGS).expect("no fault");
    assert!(without.usage_timing().is_none() && without.duties.is_none());
    let with = format!(
        "{SETTINGS}\n[usage]\nwindow_seconds = 5\ndue_after_seconds = 10\n[duties]\naddress = \"127.0.0.1:1007\"\n"
    );
    let with = GatewaySettings::parse("gateway.toml", &with).expect("no fault");
    let timing = with.usage_timing().expect("windows");
    assert_eq!(timing.length.as_secs(), 5);
    assert_eq!(timing.due_after.as_secs(), 10);
    let faulty = format!("{SETTINGS}\n[usage]\nwindow_seconds = 0\ndue_after_seconds = 10\n");
    let error = GatewaySettings::parse("gateway.toml", &faulty).expect_err("a fault");
    let error = error.to_string();
    assert!(
        error.contains("usage.window_seconds = 0: must be 0.1 to 86400"),
        "{error}"
    );
}

#[test]
fn errors_name_key_value_and_what_is_allowed() {
    let cases = [
        (
            "threads = 1",
            "threads = 0",
            "node.threads = 0: must be 1 to 64",
        ),
        (
            "threads = 1",
            "threads = 1\ncore_share = 0",
            "node.core_share = 0: must be above 0, at most 1",
        ),
        (
            "ratio = 0.2",
            "ratio = 1.5",
            "retries.ratio = 1.5: must be 0 to 1",
        ),
        (
            "ratio = 0.2",
            "ratio = nan",
            "retries.ratio = NaN: must be 0 to 1",
        ),
        (
            "grace_seconds = 8",
            "grace_seconds = 0",
            "stop.grace_seconds = 0: must be 1 to 600",
        ),
        (
            "window_seconds = 10",
            "window_seconds = 0",
            "retries.window_seconds = 0: must be above 0, at most 3600",
        ),
        (
            "\"gateway-1\"",
            "\"\"",
            "node.name = \"\": must not be empty",
        ),
    ];
    for (from, to, expected) in cases {
        let error = error_of(from, to);
        assert_eq!(error, format!("gateway.toml: {expected}"));
    }
}

#[test]
fn what_is_no_settings_file_is_refused_with_its_place() {
    let error = error_of("callers = \"127.0.0.1:1000\"", "callers = \"nowhere\"");
    assert!(error.contains("callers"), "{error}");
    let error = error_of("[stop]\ngrace_seconds = 8\n", "");
    assert!(error.contains("stop"), "{error}");
}

#[test]
fn mechanisms_that_decide_are_on_unless_one_is_switched_off() {
    let parsed = |text: &str| GatewaySettings::parse("gateway.toml", text).expect("no fault");
    assert_eq!(parsed(SETTINGS).decisions, Decisions::default());
    let one_off = format!("{SETTINGS}\n[decisions]\nfetches = false\n");
    let expected = Decisions {
        fetches: false,
        ..Decisions::default()
    };
    assert_eq!(parsed(&one_off).decisions, expected);
    let wrong = format!("{SETTINGS}\n[decisions]\nfetches = 3\n");
    let error = GatewaySettings::parse("gateway.toml", &wrong).expect_err("no switch");
    assert!(error.to_string().contains("fetches"), "{error}");
}

#[test]
fn processor_time_is_the_share_of_all_threads() {
    let text = SETTINGS.replace("threads = 1", "threads = 4\ncore_share = 0.25");
    let settings = GatewaySettings::parse("gateway.toml", &text).expect("no fault");
    assert_eq!(settings.node.capacity(), 1.0);
    let whole = GatewaySettings::parse("gateway.toml", SETTINGS).expect("no fault");
    assert_eq!(whole.node.capacity(), 1.0);
}
