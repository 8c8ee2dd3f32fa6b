//! The meaning of programs, and the position and hint with which invalid programs are rejected.

use std::time::Duration;

use tansyhall_policy::ast::ClassPriority;
use tansyhall_policy::{
    compile, compile_all, EngineSelector, Fallback, Program, ReferenceKind, RequestFacts, Share,
};

const COOPERATIVE: &str = include_str!("../../../examples/cooperative/assistant.policy");

fn cooperative() -> Program {
    compile(COOPERATIVE).expect("the example should compile")
}

fn class_of(program: &Program, facts: RequestFacts<'_>) -> String {
    program.classify(&facts).name.to_string()
}

#[test]
fn the_first_class_whose_condition_holds_applies() {
    let program = cooperative();
    let facts = RequestFacts::new("/v1/chat/completions", 300);
    assert_eq!(class_of(&program, facts), "counter");
    let ledger = RequestFacts::new("/v1/chat/completions", 2_001);
    assert_eq!(class_of(&program, ledger), "ledger-review");
    let headers = vec![("X-Tansyhall-Task".to_owned(), "ration-slip".to_owned())];
    let slip = RequestFacts {
        headers: &headers,
        ..ledger
    };
    let class = program.classify(&slip);
    assert_eq!(&*class.name, "ration-slip");
    assert!(!class.repeatable);
    assert_eq!(class.deadline, Duration::from_secs(5));
    assert_eq!(class.priority, ClassPriority::Interactive);
}

#[test]
fn not_binds_tighter_than_and_which_binds_tighter_than_or() {
    let source = "class hit when not path == \"/a\" and tenant == \"t\" or output_tokens >= 9 {}";
    let program = compile(source).expect("the program should compile");
    for (path, tenant, output_tokens, expected) in [
        ("/a", "t", 0, "default"),
        ("/b", "t", 0, "hit"),
        ("/b", "u", 0, "default"),
        ("/a", "u", 9, "hit"),
        ("/a", "u", 8, "default"),
    ] {
        let facts = RequestFacts {
            tenant,
            output_tokens,
            ..RequestFacts::new(path, 0)
        };
        assert_eq!(
            class_of(&program, facts),
            expected,
            "{path} {tenant} {output_tokens}"
        );
    }
}

#[test]
fn settings_of_classes_tenants_and_pools_are_compiled() {
    let source = "class a { prefer zone x, y; fallback zone z; versions v1 95%, v2 5%; }
        tenant t { limit 3 requests per s; limit 900 tokens per s; limit 2 concurrent; }
        pool p { least prefill 1; most prefill 2; least model base 1; changes 2 per 10m; change-worth 5%; }";
    let program = compile(source).expect("the program should compile");
    let class = program.classify(&RequestFacts::default());
    assert_eq!(class.route.prefer, ["x".into(), "y".into()]);
    assert_eq!(class.route.fallback, Fallback::Zones(vec!["z".into()]));
    let versions: Vec<&str> = (0..100)
        .filter_map(|draw| Share::pick(&class.versions, draw))
        .map(|share| &*share.name)
        .collect();
    assert_eq!(versions.iter().filter(|name| **name == "v2").count(), 5);
    assert_eq!(versions.len(), 100);
    let limits = program.tenants()[&"t".into()];
    assert_eq!(limits.requests_per_second, Some(3));
    assert_eq!(limits.tokens_per_second, Some(900));
    assert_eq!(limits.concurrent, Some(2));
    let bounds = &program.pools()[&"p".into()];
    assert_eq!(bounds.engines.len(), 2);
    assert_eq!(bounds.engines[0].most, Some(2));
    assert_eq!(
        bounds.engines[1].selector,
        EngineSelector::Model("base".into())
    );
    let budget = bounds.budget.expect("the change budget should be set");
    assert_eq!(
        (budget.changes, budget.window),
        (2, Duration::from_secs(600))
    );
    assert_eq!(bounds.change_worth_percent, Some(5));
    let zones = program
        .references()
        .iter()
        .filter(|r| r.kind == ReferenceKind::Zone);
    assert_eq!(zones.count(), 3);
}

#[test]
fn an_explanation_lists_the_tests_that_led_to_the_class() {
    let program = cooperative();
    let explanation = program.explain(&RequestFacts::new("/", 5_000));
    assert_eq!(&*explanation.class.name, "ledger-review");
    let last = explanation
        .tests
        .last()
        .expect("at least one test should be evaluated");
    assert_eq!(last.test, "prompt_tokens > 2000 tokens");
    assert!(last.held);
    assert!(explanation.tests.len() <= program.cost().comparisons);
}

/// Invalid programs, each with the source text at the error, a part of what was expected, and the
/// hint.
const INVALID_PROGRAMS: &[(&str, &str, &str, Option<&str>)] = &[
    ("klass a {}", "klass", "'class'", Some("class")),
    (
        "class a { deadlin 3s; }",
        "deadlin",
        "'deadline'",
        Some("deadline"),
    ),
    (
        "class a { deadline 3 sec; }",
        "sec",
        "'ms' or 's' or 'm'",
        None,
    ),
    ("class a { deadline 3s }", "}", "';'", None),
    (
        "class a { priority interactiv; }",
        "interactiv",
        "'batch'",
        Some("interactive"),
    ),
    (
        "class a when promt_tokens > 3 {}",
        "promt_tokens",
        "'path'",
        Some("prompt_tokens"),
    ),
    (
        "class a when prompt_tokens > 3 MB {}",
        "MB",
        "'tokens'",
        None,
    ),
    (
        "class a when body_size > 3 tokens {}",
        "tokens",
        "'MB'",
        None,
    ),
    ("class a when path > \"/\" {}", ">", "starts-with", None),
    ("class a when path == 3 {}", "3", "a quoted text", None),
    ("class a when (path == \"/\" {}", "{", "')'", None),
    ("class a when path == \"/", "\"/", "on the same line", None),
    ("class a {} class a {}", "a", "each name once", None),
    (
        "class a {} class b when path == \"/\" {}",
        "b",
        "last",
        None,
    ),
    (
        "class a { versions v1 60%, v2 60%; }",
        "v1",
        "add up to 100%",
        None,
    ),
    ("class a { versions v1 101%; }", "101", "0% to 100%", None),
    (
        "class a { deadline 2s; deadline 3s; }",
        "a",
        "each setting once",
        None,
    ),
    ("class a { deadline 61m; }", "a", "1ms to 60m", None),
    (
        "class a { prefer zone x; fallback zone x; }",
        "x",
        "another zone",
        None,
    ),
    ("tenant t { limit 0 concurrent; }", "t", "1 or more", None),
    ("tenant t { limit 3 requests; }", ";", "'per'", None),
    (
        "pool p { least prefill 3; most prefill 2; }",
        "p",
        "at or above",
        None,
    ),
    ("pool p { changes 2 per 10ms; }", "p", "1s to", None),
    (
        "class a { deadline 99999999999999999999s; }",
        "99999999999999999999",
        "2^64",
        None,
    ),
    (
        "class a { deadline 9999999999999999999m; }",
        "9999999999999999999",
        "smaller",
        None,
    ),
];

#[test]
fn errors_have_a_position_an_expectation_and_a_hint() {
    for (source, at, expected, hint) in INVALID_PROGRAMS {
        let diagnostic = compile(source).expect_err(source);
        assert_eq!(
            &&source[diagnostic.span.clone()],
            at,
            "{source}: {diagnostic}"
        );
        assert!(
            diagnostic.expected.contains(expected),
            "{source}: {diagnostic}"
        );
        let expected_hint = hint.map(|word| format!("did you mean '{word}'?"));
        assert_eq!(diagnostic.hint, expected_hint, "{source}");
    }
}

#[test]
fn every_rule_violation_is_reported() {
    let source = "class a { versions v 50%; } class b { deadline 0s; }";
    let diagnostics = compile_all(source).expect_err("both classes should be rejected");
    assert_eq!(diagnostics.len(), 3, "{diagnostics:?}");
}

#[test]
fn a_rendered_error_shows_line_column_and_hint() {
    let source = "class a {\n    deadlin 3s;\n}\n";
    let text = compile(source)
        .expect_err("the misspelt setting should be rejected")
        .render("a.policy", source);
    assert!(text.contains("a.policy:2:5"), "{text}");
    assert!(text.contains("did you mean 'deadline'?"), "{text}");
}

#[test]
fn size_and_depth_are_bounded() {
    let deep = format!(
        "class a when {} path == \"/\" {{}}",
        "not ".repeat(100_000 / 8)
    );
    let diagnostic = compile(&deep).expect_err("deep nesting should be rejected");
    assert!(
        diagnostic.message.contains("nested too deeply"),
        "{diagnostic}"
    );
    let open = format!("class a when {}", "(".repeat(60_000));
    assert!(compile(&open).is_err());
    let wide = vec!["path == \"/\""; 33].join(" or ");
    let diagnostic = compile(&format!("class a when {wide} {{}}"))
        .expect_err("too many comparisons should be rejected");
    assert!(
        diagnostic.message.contains("too many comparisons"),
        "{diagnostic}"
    );
    let classes: String = (0..33)
        .map(|i| format!("class c{i} when path == \"/\" {{}}"))
        .collect();
    let diagnostic = compile(&classes).expect_err("too many classes should be rejected");
    assert!(
        diagnostic.message.contains("too many classes"),
        "{diagnostic}"
    );
    let headers = ["header \"x\" present"; 7].join(" or ");
    let diagnostic = compile(&format!("class a when {headers} {{}}"))
        .expect_err("too many header comparisons should be rejected");
    assert!(
        diagnostic.message.contains("comparisons of headers"),
        "{diagnostic}"
    );
    let long = "#".repeat(70_000);
    let diagnostic = compile(&long).expect_err("a long program should be rejected");
    assert!(diagnostic.message.contains("too long"), "{diagnostic}");
}
