//! Validation of settings: errors name the key, the value and the allowed range.

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

fn error_after_replacing(from: &str, to: &str) -> String {
    let text = SETTINGS.replace(from, to);
    assert_ne!(text, SETTINGS, "the text to replace was not found");
    let error = GatewaySettings::parse("gateway.toml", &text).expect_err("invalid settings");
    error.to_string()
}

#[test]
fn complete_settings_and_unknown_keys_are_accepted() {
    let settings = GatewaySettings::parse("gateway.toml", SETTINGS).expect("valid settings");
    assert_eq!(settings.grace().as_millis(), 8_000);
    assert_eq!(settings.limits.memory_mb, 1_024);
    let unknown = format!("{SETTINGS}\n[later]\nkey = 1\n");
    assert!(GatewaySettings::parse("gateway.toml", &unknown).is_ok());
}

#[test]
fn the_sections_usage_and_duties_are_optional() {
    let without_sections =
        GatewaySettings::parse("gateway.toml", SETTINGS).expect("valid settings");
    assert!(without_sections.usage_timing().is_none() && without_sections.duties.is_none());
    let text = format!(
        "{SETTINGS}\n[usage]\nwindow_seconds = 5\ndue_after_seconds = 10\n[duties]\naddress = \"127.0.0.1:1007\"\n"
    );
    let with_sections = GatewaySettings::parse("gateway.toml", &text).expect("valid settings");
    let timing = with_sections.usage_timing().expect("usage windows");
    assert_eq!(timing.length.as_secs(), 5);
    assert_eq!(timing.due_after.as_secs(), 10);
    let invalid = format!("{SETTINGS}\n[usage]\nwindow_seconds = 0\ndue_after_seconds = 10\n");
    let error = GatewaySettings::parse("gateway.toml", &invalid).expect_err("invalid settings");
    let error = error.to_string();
    assert!(
        error.contains("usage.window_seconds = 0: must be 0.1 to 86400"),
        "{error}"
    );
}

#[test]
fn errors_name_the_key_the_value_and_the_allowed_range() {
    let cases = [
        (
            "[orders]",
            "[limits]\nmemory_mb = 63\n[orders]",
            "limits.memory_mb = 63: must be 64 to 1048576",
        ),
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
            "[stop]",
            "[tolerance]\nzones = 65\n\n[stop]",
            "tolerance.zones = 65: must be 0 to 64",
        ),
        (
            "[stop]",
            "[workers]\ndrain_seconds = -1\n\n[stop]",
            "workers.drain_seconds = -1: must be 0 to 600",
        ),
        (
            "[stop]",
            "[workers]\ndrain_seconds = inf\n\n[stop]",
            "workers.drain_seconds = inf: must be 0 to 600",
        ),
        (
            "\"gateway-1\"",
            "\"\"",
            "node.name = \"\": must not be empty",
        ),
    ];
    for (from, to, expected) in cases {
        let error = error_after_replacing(from, to);
        assert_eq!(error, format!("gateway.toml: {expected}"));
    }
}

#[test]
fn syntax_errors_name_the_key() {
    let error = error_after_replacing("callers = \"127.0.0.1:1000\"", "callers = \"nowhere\"");
    assert!(error.contains("callers"), "{error}");
    let error = error_after_replacing("[stop]\ngrace_seconds = 8\n", "");
    assert!(error.contains("stop"), "{error}");
}

#[test]
fn the_source_address_of_connections_to_workers_is_optional() {
    let parsed = |text: &str| GatewaySettings::parse("gateway.toml", text);
    let default = parsed(SETTINGS).expect("valid settings");
    assert_eq!(default.workers.source_address, None);
    let text = format!("{SETTINGS}\n[workers]\nsource_address = \"192.0.2.7\"\n");
    let configured = parsed(&text).expect("valid settings");
    assert_eq!(
        configured.workers.source_address,
        Some("192.0.2.7".parse().expect("an address"))
    );
    let with_port = text.replace("192.0.2.7", "192.0.2.7:80");
    let error = parsed(&with_port).expect_err("an address with a port");
    assert!(error.to_string().contains("source_address"), "{error}");
}

#[test]
fn routing_mechanisms_are_enabled_unless_one_is_disabled() {
    let parsed = |text: &str| GatewaySettings::parse("gateway.toml", text).expect("valid settings");
    let tolerant = format!("{SETTINGS}\n[tolerance]\nzones = 1\n");
    assert_eq!(parsed(&tolerant).decisions, Decisions::default());
    let one_disabled = format!("{tolerant}\n[decisions]\nfetches = false\n");
    let expected = Decisions {
        fetches: false,
        ..Decisions::default()
    };
    assert_eq!(parsed(&one_disabled).decisions, expected);
    let invalid = format!("{SETTINGS}\n[decisions]\nfetches = 3\n");
    let error = GatewaySettings::parse("gateway.toml", &invalid).expect_err("not a boolean");
    assert!(error.to_string().contains("fetches"), "{error}");
}

/// Guards against new mechanisms that change how a deployment is served whose settings do not ask for them.
#[test]
fn planning_for_lost_capacity_is_off_unless_the_loss_of_a_zone_has_to_be_borne() {
    let parsed = |text: &str| GatewaySettings::parse("gateway.toml", text).expect("valid settings");
    let off = Decisions::default().with_tolerated_zones(0);
    assert_ne!(off, Decisions::default());
    assert_eq!(parsed(SETTINGS).decisions, off);
    let requested = format!("{SETTINGS}\n[decisions]\nurgent_first = true\n");
    assert_eq!(parsed(&requested).decisions, off);
}

#[test]
fn capacity_is_the_core_share_of_all_threads() {
    let text = SETTINGS.replace("threads = 1", "threads = 4\ncore_share = 0.25");
    let settings = GatewaySettings::parse("gateway.toml", &text).expect("valid settings");
    assert_eq!(settings.node.capacity(), 1.0);
    let full_share = GatewaySettings::parse("gateway.toml", SETTINGS).expect("valid settings");
    assert_eq!(full_share.node.capacity(), 1.0);
}
