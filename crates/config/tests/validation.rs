//! Invalid configurations are rejected with the field, value and hint, and the referrers of a
//! resource are found.

use tansyhall_config::{Configuration, Problem, ResourceFile, ResourceKey, ResourceKind};

const VALID: &str = "
[[tenant]]
name = 'clinic'
owner = 'desk'
[[policy]]
name = 'p'
source = 'class c when tenant == \"clinic\" and service == \"assistant\" { prefer zone z1; versions v1 100%; } pool p1 { changes 1 per 5m; }'
[[site]]
name = 's'
region = 'r'
zones = ['z1', 'z2']
[[service]]
name = 'assistant'
site = 's'
kind = 'language-model'
policy = 'p'
tenant = 'clinic'
[[pool]]
name = 'p1'
service = 'assistant'
zone = 'z1'
model = 'base'
versions = ['v1']
backends = [{ name = 'e1', address = '10.0.0.1:80' }]
";

fn configuration(text: &str) -> Configuration {
    let file = ResourceFile::parse(text).expect("the file should parse");
    let mut configuration = Configuration::default();
    file.into_resources()
        .into_iter()
        .for_each(|resource| configuration.put(resource));
    configuration
}

fn problems(text: &str) -> Vec<Problem> {
    let result = configuration(text).validate();
    result.expect_err("the configuration should be rejected").0
}

#[test]
fn a_complete_configuration_is_valid() {
    assert_eq!(configuration(VALID).validate(), Ok(()));
}

/// Text of the valid configuration, its invalid replacement, and the expected field, value and
/// hint.
const INVALID_REPLACEMENTS: &[(&str, &str, &str, &str, Option<&str>)] = &[
    ("zone = 'z1'", "zone = 'z11'", "zone", "z11", Some("z1")),
    (
        "site = 's'",
        "site = 'elsewhere'",
        "site",
        "elsewhere",
        None,
    ),
    ("policy = 'p'", "policy = 'q'", "policy", "q", Some("p")),
    (
        "tenant = 'clinic'",
        "tenant = 'clinics'",
        "tenant",
        "clinics",
        Some("clinic"),
    ),
    (
        "service = 'assistant'",
        "service = 'asistant'",
        "service",
        "asistant",
        Some("assistant"),
    ),
    ("model = 'base'", "", "model", "", None),
    (
        "prefer zone z1",
        "prefer zone z3",
        "source",
        "z3",
        Some("z1"),
    ),
    ("versions v1", "versions v9", "source", "v9", Some("v1")),
    (
        "== \"clinic\"",
        "== \"klinic\"",
        "source",
        "klinic",
        Some("clinic"),
    ),
    (
        "prefer zone",
        "prefre zone",
        "source",
        "prefre",
        Some("prefer"),
    ),
    (
        "zones = ['z1', 'z2']",
        "zones = ['z1', 'z1']",
        "zones",
        "z1",
        None,
    ),
    ("name = 'e1'", "name = 'e 1'", "backends", "e 1", None),
    ("owner = 'desk'", "owner = ' '", "owner", "", None),
    (
        "kind = 'language-model'",
        "kind = 'language-model'\npath_prefix = '/a'",
        "path_prefix",
        "/a",
        None,
    ),
    (
        "model = 'base'",
        "model = 'base'\nroles = [{ role = 'prefill', least = 2 }]",
        "roles",
        "2",
        None,
    ),
];

#[test]
fn a_violation_is_reported_with_field_value_allowed_values_and_hint() {
    for (from, to, field, value, hint) in INVALID_REPLACEMENTS {
        assert!(VALID.contains(from), "{from}");
        let problems = problems(&VALID.replacen(from, to, 1));
        let found = problems
            .iter()
            .find(|p| p.field == *field && p.value == *value);
        let problem = found.unwrap_or_else(|| panic!("{to}: {problems:?}"));
        let expected_hint = hint.map(|name| format!("did you mean '{name}'?"));
        assert_eq!(problem.hint, expected_hint, "{to}");
        assert!(!problem.allowed.is_empty(), "{problem}");
    }
}

#[test]
fn a_back_end_name_or_address_used_in_two_pools_is_rejected() {
    let second = "[[pool]]\nname = 'p2'\nservice = 'assistant'\nzone = 'z2'\nmodel = 'base'\n\
        backends = [{ name = 'e1', address = '10.0.0.1:80' }]\n";
    let problems = problems(&format!("{VALID}{second}"));
    assert_eq!(problems.len(), 2, "{problems:?}");
    assert!(problems.iter().all(|problem| problem.field == "backends"));
}

#[test]
fn referrers_include_references_in_fields_and_in_policy_programs() {
    let configuration = configuration(VALID);
    let referrers = |kind, name| {
        let referrers = configuration.referrers(&ResourceKey::new(kind, name));
        referrers
            .iter()
            .map(ToString::to_string)
            .collect::<Vec<_>>()
    };
    assert_eq!(
        referrers(ResourceKind::Site, "s"),
        ["service/assistant", "pool/p1"]
    );
    assert_eq!(
        referrers(ResourceKind::Tenant, "clinic"),
        ["policy/p", "service/assistant"]
    );
    assert_eq!(
        referrers(ResourceKind::Service, "assistant"),
        ["policy/p", "pool/p1"]
    );
    assert_eq!(referrers(ResourceKind::Policy, "p"), ["service/assistant"]);
    assert_eq!(referrers(ResourceKind::Pool, "p1"), ["policy/p"]);
}

#[test]
fn an_unknown_key_has_a_position_and_a_hint() {
    let text = VALID.replace("zones =", "zoness =");
    let diagnostic = ResourceFile::parse(&text).expect_err("the unknown key should be rejected");
    assert_eq!(&text[diagnostic.span.clone()], "zoness");
    assert_eq!(diagnostic.hint.as_deref(), Some("did you mean 'zones'?"));
    let text = VALID.replace("'language-model'", "'language-modle'");
    let diagnostic = ResourceFile::parse(&text).expect_err("the unknown kind should be rejected");
    assert_eq!(
        diagnostic.hint.as_deref(),
        Some("did you mean 'language-model'?")
    );
}

#[test]
fn a_field_is_located_in_its_file() {
    let key = ResourceKey::new(ResourceKind::Pool, "p1");
    let span = tansyhall_config::locate(VALID, &key, "zone").expect("the field should be located");
    assert_eq!(&VALID[span], "'z1'");
    let span = tansyhall_config::locate(VALID, &key, "roles")
        .expect("the name should be located instead of the absent field");
    assert_eq!(&VALID[span], "'p1'");
}
