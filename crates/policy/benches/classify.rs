//! Measures one evaluation of a program of typical size and of the longest program that compiles.

use std::hint::black_box;

use criterion::{criterion_group, criterion_main, Criterion};
use tansyhall_policy::parser::{MAX_COMPARISONS, MAX_HEADER_COMPARISONS};
use tansyhall_policy::{compile, Program, RequestFacts};

const TYPICAL: &str = include_str!("../../../examples/cooperative/assistant.policy");

/// Number of headers of a typical request.
const HEADER_COUNT: usize = 12;

/// Returns a program with as many comparisons as the limits allow, the most expensive ones first.
/// None of them matches, so that all are evaluated.
fn longest_program() -> Program {
    let headers = ["header \"x-tansyhall-kind\" starts-with \"slip\""; MAX_HEADER_COMPARISONS];
    let paths = ["path starts-with \"/v1/chat/completionz\""; MAX_COMPARISONS];
    let tests = [&headers[..], &paths[MAX_HEADER_COMPARISONS..]]
        .concat()
        .join(" or ");
    compile(&format!("class never when {tests} {{}}")).expect("the program should compile")
}

fn headers() -> Vec<(String, String)> {
    let header = |index| (format!("x-header-number-{index}"), "value".to_owned());
    (0..HEADER_COUNT).map(header).collect()
}

fn classify(criterion: &mut Criterion) {
    let headers = headers();
    let facts = RequestFacts {
        service: "assistant",
        tenant: "member-desk",
        output_tokens: 200,
        headers: &headers,
        ..RequestFacts::new("/v1/chat/completions", 300)
    };
    let typical = compile(TYPICAL).expect("the example should compile");
    criterion.bench_function("classify/cooperative", |bencher| {
        bencher.iter(|| typical.classify(black_box(&facts)).deadline);
    });
    let longest = longest_program();
    criterion.bench_function("classify/longest", |bencher| {
        bencher.iter(|| longest.classify(black_box(&facts)).deadline);
    });
}

criterion_group!(benches, classify);
criterion_main!(benches);
