//! Time of one evaluation: a program of the users' size, and the longest program that compiles.

use std::hint::black_box;

use criterion::{criterion_group, criterion_main, Criterion};
use tansyhall_policy::parser::{MAX_COMPARISONS, MAX_HEADER_COMPARISONS};
use tansyhall_policy::{compile, Program, RequestFacts};

const USUAL: &str = include_str!("../../../examples/cooperative/assistant.policy");

/// Headers of a usual request.
const HEADERS: usize = 12;

/// Every comparison that the bounds allow, the costliest first, none of which holds.
fn longest() -> Program {
    let headers = ["header \"x-tansyhall-kind\" starts-with \"slip\""; MAX_HEADER_COMPARISONS];
    let paths = ["path starts-with \"/v1/chat/completionz\""; MAX_COMPARISONS];
    let tests = [&headers[..], &paths[MAX_HEADER_COMPARISONS..]]
        .concat()
        .join(" or ");
    compile(&format!("class never when {tests} {{}}")).expect("the program compiles")
}

fn headers() -> Vec<(String, String)> {
    let header = |index| (format!("x-header-number-{index}"), "value".to_owned());
    (0..HEADERS).map(header).collect()
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
    let usual = compile(USUAL).expect("the example compiles");
    criterion.bench_function("classify/cooperative", |bencher| {
        bencher.iter(|| usual.classify(black_box(&facts)).deadline);
    });
    let longest = longest();
    criterion.bench_function("classify/longest", |bencher| {
        bencher.iter(|| longest.classify(black_box(&facts)).deadline);
    });
}

criterion_group!(benches, classify);
criterion_main!(benches);
