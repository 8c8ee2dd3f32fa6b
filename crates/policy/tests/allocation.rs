//! Evaluation runs for each request and must not allocate.

use assert_no_alloc::{assert_no_alloc, AllocDisabler};
use tansyhall_policy::{compile, RequestFacts};

#[global_allocator]
static ALLOCATOR: AllocDisabler = AllocDisabler;

#[test]
fn evaluation_does_not_allocate() {
    let source = include_str!("../../../examples/cooperative/assistant.policy");
    let program = compile(source).expect("the example should compile");
    let headers = vec![("x-other".to_owned(), "1".to_owned())];
    let facts = RequestFacts {
        tenant: "drivers",
        headers: &headers,
        ..RequestFacts::new("/v1/chat/completions", 300)
    };
    let class = assert_no_alloc(|| program.classify(&facts));
    assert_eq!(&*class.name, "manifest");
}
