//! Policies read the headers of HTTP requests without allocating.

use actix_web::http::header::{HeaderMap, HeaderName, HeaderValue};
use assert_no_alloc::{assert_no_alloc, AllocDisabler};
use tansyhall_node::configuration::RequestHeaders;
use tansyhall_policy::{compile, RequestFacts};

#[global_allocator]
static ALLOCATOR: AllocDisabler = AllocDisabler;

#[test]
fn a_header_is_found_by_its_name_in_any_case_without_allocating() {
    let source =
        "class slip when header \"X-Tansyhall-Task\" == \"ration-slip\" { not-repeatable; }";
    let program = compile(source).expect("it compiles");
    let mut headers = HeaderMap::new();
    let name: HeaderName = "X-TANSYHALL-Task".parse().expect("a name");
    headers.append(name.clone(), HeaderValue::from_static("ration-slip"));
    let class_of = |headers: &HeaderMap| {
        let headers = RequestHeaders(headers);
        let facts = RequestFacts {
            headers: &headers,
            ..RequestFacts::default()
        };
        assert_no_alloc(|| program.classify(&facts).repeatable)
    };
    assert!(!class_of(&headers));
    let opaque = HeaderValue::from_bytes(b"\xff").expect("a value");
    headers.insert(name, opaque);
    assert!(
        class_of(&headers),
        "a value that is not text equals nothing"
    );
}
