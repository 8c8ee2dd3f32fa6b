//! Limits that would prevent a node from serving are rejected with an error that names the key.

use tansyhall_config::settings::SettingsError;
use tansyhall_config::NodeSettings;

fn parse(limit: &str) -> Result<NodeSettings, SettingsError> {
    let text = format!(
        "name = 'node-0'\nzone = 'local'\nplatform = '127.0.0.1:1'\ncallers = '127.0.0.1:0'\n\
         admin = '127.0.0.1:0'\npeers = '127.0.0.1:0'\n[limits]\n{limit}\n"
    );
    NodeSettings::parse("test", &text)
}

#[test]
fn zero_is_rejected_for_limits_that_would_prevent_serving() {
    let limits = [
        "body_timeout = '0s'",
        "engine_stall = '0s'",
        "caller_stall = '0s'",
        "max_answer_bytes = 0",
        "max_backend_connections = 0",
        "max_request_records = 0",
        "max_idempotency_keys = 0",
    ];
    for limit in limits {
        let expected_key = format!("limits.{}", limit.split(' ').next().unwrap_or_default());
        match parse(limit) {
            Err(SettingsError::Value { key, .. }) => assert_eq!(key, expected_key),
            other => panic!("{limit}: {other:?}"),
        }
    }
}

#[test]
fn the_defaults_and_an_empty_retry_budget_are_allowed() {
    assert!(parse("").is_ok());
    assert!(parse("retries_per_thousand = 0\nretry_reserve = 0").is_ok());
}
