//! Property tests: arbitrary text never makes a decoder panic, and resource files round-trip
//! through their text form.

use proptest::collection::vec;
use proptest::prelude::*;
use proptest::sample::select;
use tansyhall_config::{NodeSettings, Resource, ResourceFile, ResourceKey, ResourceKind};
use tansyhall_fixed_cases::config_with_seed;

/// Fragments of valid files. Purely random text would be rejected at its first line.
const FRAGMENTS: &[&str] = &[
    "[[pool]]",
    "[[site]]",
    "[[policy]]",
    "[limits]",
    "[[operators]]",
    "name",
    "zone",
    "zones",
    "backends",
    "roles",
    "source",
    "callers",
    "admin",
    "peers",
    "platform",
    "lease",
    "=",
    "'x'",
    "'''",
    "\"",
    "[",
    "]",
    "{",
    "}",
    ",",
    "1",
    "-1",
    "'10.0.0.1:80'",
    "'2s'",
    "é",
    "#",
    "\n",
    "\n",
    "\n",
];

fn resources() -> impl Strategy<Value = Vec<Resource>> {
    let policy = ("[a-z]{1,6}", any::<String>()).prop_map(|(name, source)| {
        let json = serde_json::json!({ "name": name, "source": source });
        Resource::from_json(ResourceKind::Policy, json.to_string().as_bytes())
    });
    let pool = ("[a-z]{1,6}", 0u8..4, 0u32..4).prop_map(|(name, engines, least)| {
        let backend =
            |index| serde_json::json!({ "name": format!("e{index}"), "address": "10.0.0.1:80" });
        let backends: Vec<_> = (0..engines).map(backend).collect();
        let roles = [serde_json::json!({ "role": "prefill", "least": least })];
        let json = serde_json::json!({ "name": name, "service": "s", "zone": "z", "model": "m",
            "backends": backends, "roles": roles });
        Resource::from_json(ResourceKind::Pool, json.to_string().as_bytes())
    });
    vec(
        prop_oneof![policy, pool]
            .prop_map(|resource| resource.expect("generated resource should decode")),
        0..6,
    )
}

proptest! {
    #![proptest_config(config_with_seed(31))]

    #[test]
    fn arbitrary_text_never_panics_a_decoder(
        text in prop_oneof![
            any::<String>(),
            vec(select(FRAGMENTS), 0..40).prop_map(|words| words.join(" ")),
        ],
    ) {
        if let Err(diagnostic) = ResourceFile::parse(&text) {
            prop_assert!(!diagnostic.render("file", &text).is_empty());
        }
        if let Err(error) = NodeSettings::parse("file", &text) {
            prop_assert!(!error.to_string().is_empty());
        }
        for kind in ResourceKind::ALL {
            let _ = Resource::from_json(kind, text.as_bytes());
            let _ = tansyhall_config::locate(&text, &ResourceKey::new(kind, "x"), "zone");
        }
    }

    #[test]
    fn resource_files_round_trip_through_text(resources in resources()) {
        let file = ResourceFile::from_resources(resources);
        let text = file.to_text().expect("resource file should serialize");
        let read = ResourceFile::parse(&text).expect("serialized resource file should parse");
        prop_assert_eq!(read.into_resources(), file.into_resources());
    }
}
