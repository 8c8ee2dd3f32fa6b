//! Property tests of the compiler over arbitrary texts and arbitrary syntax trees.

use std::time::Duration;

use proptest::collection::vec;
use proptest::prelude::*;
use proptest::sample::select;
use tansyhall_core::Role;
use tansyhall_fixed_cases::config_with_seed;
use tansyhall_policy::ast::{
    ClassAst, ClassPriority, ClassSetting, Comparison, Condition, EngineSelectorAst, FallbackAst,
    Name, NumberFact, NumberOperator, PolicyAst, PoolAst, PoolSetting, ShareAst, TenantAst,
    TenantLimit, TextFact, TextOperator,
};
use tansyhall_policy::parser::parse;
use tansyhall_policy::{compile_all, RequestFacts};

/// Words and symbols of the language. Purely random text would be rejected at its first token.
const FRAGMENTS: &[&str] = &[
    "class",
    "tenant",
    "pool",
    "when",
    "and",
    "or",
    "not",
    "(",
    ")",
    "{",
    "}",
    ";",
    ",",
    "%",
    "3",
    "ms",
    "s",
    "m",
    "tokens",
    "MB",
    "per",
    "limit",
    "requests",
    "concurrent",
    "deadline",
    "least",
    "priority",
    "batch",
    "prefer",
    "zone",
    "fallback",
    "any",
    "versions",
    "x",
    "\"/a\"",
    "==",
    "<",
    ">=",
    "!=",
    "starts-with",
    "prompt_tokens",
    "path",
    "header",
    "present",
    "\"",
    "é",
    "#",
    "\n",
    "prefill",
    "changes",
    "change-worth",
    "18446744073709551615",
];

fn name() -> impl Strategy<Value = Name> {
    prop_oneof![
        "[a-z][a-z0-9._-]{0,8}",
        "[0-9 é/]{0,5}",
        select(vec!["when", "and", "zone"]).prop_map(str::to_owned)
    ]
    .prop_map(|text| Name::new(&text))
}

fn names() -> impl Strategy<Value = Vec<Name>> {
    vec(name(), 1..4)
}

fn comparison() -> impl Strategy<Value = Comparison> {
    let number_operators = select(vec![
        NumberOperator::Less,
        NumberOperator::LessOrEqual,
        NumberOperator::Greater,
        NumberOperator::GreaterOrEqual,
        NumberOperator::Equal,
        NumberOperator::NotEqual,
    ]);
    let facts = select(vec![
        NumberFact::PromptTokens,
        NumberFact::OutputTokens,
        NumberFact::BodySize,
    ]);
    let values = prop_oneof![any::<u64>(), (0u64..99).prop_map(|n| n * 1_000_000)];
    let number =
        (facts, number_operators, values).prop_map(|(fact, operator, value)| Comparison::Number {
            fact,
            operator,
            value,
        });
    let text_operators = select(vec![
        TextOperator::Equal,
        TextOperator::NotEqual,
        TextOperator::StartsWith,
    ]);
    let text_facts = prop_oneof![
        Just(TextFact::Service),
        Just(TextFact::Path),
        Just(TextFact::Tenant),
        Just(TextFact::Model),
        "[a-z-]{1,9}".prop_map(TextFact::Header),
    ];
    let text =
        (text_facts, text_operators, name()).prop_map(|(fact, operator, value)| Comparison::Text {
            fact,
            operator,
            value,
        });
    let present = "[a-z-]{1,9}".prop_map(Comparison::HeaderPresent);
    prop_oneof![number, text, present]
}

fn condition() -> impl Strategy<Value = Condition> {
    let leaf = comparison().prop_map(Condition::Test);
    leaf.prop_recursive(4, 6, 2, |inner| {
        let pair = (inner.clone(), inner.clone());
        prop_oneof![
            inner.prop_map(|c| Condition::Not(Box::new(c))),
            pair.clone()
                .prop_map(|(l, r)| Condition::And(Box::new(l), Box::new(r))),
            pair.prop_map(|(l, r)| Condition::Or(Box::new(l), Box::new(r))),
        ]
    })
}

fn shares() -> impl Strategy<Value = Vec<ShareAst>> {
    let share = (name(), 0u8..=100).prop_map(|(name, percent)| ShareAst { name, percent });
    vec(share, 1..4)
}

fn duration() -> impl Strategy<Value = Duration> {
    prop_oneof![0u64..100_000, (0u64..99).prop_map(|n| n * 60_000)].prop_map(Duration::from_millis)
}

fn class() -> impl Strategy<Value = ClassAst> {
    let setting = prop_oneof![
        duration().prop_map(ClassSetting::Deadline),
        select(ClassPriority::NAMES.map(|(_, name)| name).to_vec())
            .prop_map(ClassSetting::Priority),
        Just(ClassSetting::NotRepeatable),
        names().prop_map(ClassSetting::Prefer),
        Just(ClassSetting::Fallback(FallbackAst::Any)),
        Just(ClassSetting::Fallback(FallbackAst::None)),
        names().prop_map(|zones| ClassSetting::Fallback(FallbackAst::Zones(zones))),
        shares().prop_map(ClassSetting::Versions),
        shares().prop_map(ClassSetting::Adapters),
    ];
    let parts = (
        name(),
        proptest::option::of(condition()),
        vec(setting, 0..5),
    );
    parts.prop_map(|(name, condition, settings)| ClassAst {
        name,
        condition,
        settings,
    })
}

fn tenant() -> impl Strategy<Value = TenantAst> {
    let limit = prop_oneof![
        any::<u64>().prop_map(TenantLimit::RequestsPerSecond),
        any::<u64>().prop_map(TenantLimit::TokensPerSecond),
        any::<u64>().prop_map(TenantLimit::Concurrent),
    ];
    (name(), vec(limit, 0..4)).prop_map(|(name, limits)| TenantAst { name, limits })
}

fn pool() -> impl Strategy<Value = PoolAst> {
    let selector = || {
        prop_oneof![
            select(Role::ALL.to_vec()).prop_map(EngineSelectorAst::Role),
            name().prop_map(EngineSelectorAst::Model),
        ]
    };
    let setting = prop_oneof![
        (selector(), any::<u64>()).prop_map(|(s, n)| PoolSetting::Least(s, n)),
        (selector(), any::<u64>()).prop_map(|(s, n)| PoolSetting::Most(s, n)),
        (any::<u64>(), duration()).prop_map(|(n, window)| PoolSetting::Changes(n, window)),
        (0u8..=100).prop_map(PoolSetting::ChangeWorth),
    ];
    (name(), vec(setting, 0..4)).prop_map(|(name, settings)| PoolAst { name, settings })
}

fn policy() -> impl Strategy<Value = PolicyAst> {
    (vec(class(), 0..3), vec(tenant(), 0..3), vec(pool(), 0..3)).prop_map(
        |(classes, tenants, pools)| PolicyAst {
            classes,
            tenants,
            pools,
        },
    )
}

/// Evaluates a condition by walking its tree, as a reference for the compiled form. Only single
/// comparisons are evaluated by a compiled program.
fn evaluate_tree(condition: &Condition, facts: &RequestFacts<'_>) -> bool {
    match condition {
        Condition::Not(inner) => !evaluate_tree(inner, facts),
        Condition::And(left, right) => evaluate_tree(left, facts) && evaluate_tree(right, facts),
        Condition::Or(left, right) => evaluate_tree(left, facts) || evaluate_tree(right, facts),
        Condition::Test(_) => {
            let source = format!("class hit when {condition} {{}}");
            let program = compile_all(&source).expect("a single comparison should compile");
            &*program.classify(facts).name == "hit"
        }
    }
}

fn assert_diagnostics_are_valid(source: &str) {
    if let Err(diagnostics) = compile_all(source) {
        assert!(!diagnostics.is_empty());
        for diagnostic in diagnostics {
            assert!(
                source.get(diagnostic.span.clone()).is_some(),
                "{:?}",
                diagnostic.span
            );
            assert!(!diagnostic.render("p", source).is_empty());
        }
    }
}

proptest! {
    #![proptest_config(config_with_seed(11))]

    #[test]
    fn arbitrary_text_never_panics_the_compiler(source in any::<String>()) {
        assert_diagnostics_are_valid(&source);
    }

    #[test]
    fn arbitrary_fragments_never_panic_the_compiler(words in vec(select(FRAGMENTS), 0..60)) {
        assert_diagnostics_are_valid(&words.join(" "));
    }

    #[test]
    fn a_formatted_tree_parses_to_itself(tree in policy()) {
        let text = tree.to_string();
        prop_assert_eq!(parse(&text).map_err(|diagnostic| diagnostic.render("p", &text)), Ok(tree));
    }

    #[test]
    fn compiled_conditions_agree_with_the_syntax_tree(
        condition in condition(),
        prompt_tokens in 0u64..200_000_000,
        path in "[a-z/]{0,4}",
    ) {
        let source = format!("class hit when {condition} {{}}");
        let program = compile_all(&source).expect("the condition should compile");
        let facts = RequestFacts::new(&path, prompt_tokens);
        let hit = &*program.classify(&facts).name == "hit";
        prop_assert_eq!(hit, evaluate_tree(&condition, &facts));
        prop_assert_eq!(program.explain(&facts).class.name, program.classify(&facts).name.clone());
    }
}
