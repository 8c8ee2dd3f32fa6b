//! Node settings: the template matches the defaults and the reference, and invalid values are
//! rejected with a precise error.

use tansyhall_config::NodeSettings;

const TEMPLATE: &str = include_str!("../../../examples/settings/node.toml");

/// Returns the template with all commented-out defaults uncommented.
fn with_defaults() -> String {
    let uncomment = |line: &str| match line.strip_prefix("# ") {
        Some(setting) if setting.contains(" = ") => setting.to_owned(),
        _ => line.to_owned(),
    };
    let lines: Vec<String> = TEMPLATE.lines().map(uncomment).collect();
    lines.join("\n")
}

#[test]
fn the_template_shows_every_default() {
    let from_template = NodeSettings::parse("node.toml", TEMPLATE).expect("the template is valid");
    let with_explicit_defaults =
        NodeSettings::parse("node.toml", &with_defaults()).expect("the defaults are valid");
    assert_eq!(
        format!("{from_template:?}"),
        format!("{with_explicit_defaults:?}")
    );
}

#[test]
fn the_template_and_the_reference_list_every_key() {
    let settings = NodeSettings::parse("node.toml", TEMPLATE).expect("the template is valid");
    let value = serde_json::to_value(&settings).expect("settings are plain data");
    let reference = include_str!("../../../docs/settings.md");
    let mut objects = vec![("", &value), ("limits.", &value["limits"])];
    objects.push(("authority.", &value["authority"]));
    objects.push(("peer_limits.", &value["peer_limits"]));
    objects.push(("routing.", &value["routing"]));
    objects.push(("journal.", &value["journal"]));
    for (prefix, object) in objects {
        for key in object.as_object().expect("an object").keys() {
            assert!(
                TEMPLATE.contains(key.as_str()),
                "the template lacks {prefix}{key}"
            );
            let full = format!("`{prefix}{key}`");
            let is_table = object[key].is_object() || key == "operators";
            assert!(
                is_table || reference.contains(&full),
                "docs/settings.md lacks {full}"
            );
        }
    }
}

/// Text of the template, its invalid replacement, and the parts that the error must contain.
const INVALID_REPLACEMENTS: &[(&str, &str, &[&str])] = &[
    (
        "zone = \"kalimati\"",
        "zone = \"a b\"",
        &["zone = a b", "a-z"],
    ),
    ("threads = 4", "threads = 0", &["threads = 0", "1 to 256"]),
    (
        "threads = 4",
        "thread = 4",
        &["node.toml:", "did you mean 'threads'?"],
    ),
    (
        "max_attempts = 3",
        "max_attempts = 0",
        &["limits.max_attempts = 0", "1 or more"],
    ),
    (
        "lease = \"6s\"",
        "lease = \"3s\"",
        &["authority.lease = 3s", "authority.renewal"],
    ),
    (
        "drain_timeout = \"2m\"",
        "drain_timeout = \"0s\"",
        &["limits.drain_timeout", "above zero"],
    ),
    (
        "renewal = \"2s\"",
        "renewal = \"2 lightyears\"",
        &["node.toml:", "lightyears"],
    ),
    (
        "role = \"operator\"",
        "role = \"operater\"",
        &["did you mean 'operator'?"],
    ),
    (
        "= \"000000",
        "= \"zzzzzz",
        &["operators.token_sha256", "64 hexadecimal digits"],
    ),
    (
        "callers = \"10.20.1.5:8080\"",
        "callers = \"localhost:80\"",
        &["node.toml:", "callers"],
    ),
];

#[test]
fn an_error_names_file_key_value_and_what_is_allowed() {
    let text = with_defaults();
    for (from, to, expected_parts) in INVALID_REPLACEMENTS {
        assert!(text.contains(from), "{from}");
        let result = NodeSettings::parse("node.toml", &text.replacen(from, to, 1));
        let error = result.expect_err(to).to_string();
        for part in expected_parts.iter().chain(&["node.toml"]) {
            assert!(error.contains(part), "{to}: {error}");
        }
    }
}

#[test]
fn accounts_that_share_a_name_or_token_are_rejected() {
    let hash = "0000000000000000000000000000000000000000000000000000000000000000";
    for (name, token) in [
        ("on-call", &hash.replace('0', "3")),
        ("other", &hash.to_owned()),
    ] {
        let account =
            format!("[[operators]]\nname = '{name}'\nrole = 'viewer'\ntoken_sha256 = '{token}'\n");
        let text = TEMPLATE.replace("[limits]", &format!("{account}[limits]"));
        assert!(
            NodeSettings::parse("node.toml", &text).is_err(),
            "{account}"
        );
    }
}
