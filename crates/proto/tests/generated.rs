//! The committed generated code matches the committed `.proto` files.

use std::path::Path;

#[test]
fn the_committed_code_is_up_to_date() {
    let package = Path::new(env!("CARGO_MANIFEST_DIR"));
    let output = tempfile::tempdir().expect("temporary directory");
    tansyhall_proto_gen::generate(&package.join("proto"), output.path()).expect("generated code");
    let file = "tansyhall.peers.rs";
    let generated = std::fs::read_to_string(output.path().join(file)).expect("generated file");
    let committed = std::fs::read_to_string(package.join("src/generated").join(file));
    assert!(
        committed.expect("committed file") == generated,
        "the committed code is out of date; run `cargo run -p tansyhall-proto-gen`"
    );
}
