//! The committed code is what the generator makes of the committed `.proto` files.

use std::path::Path;

#[test]
fn the_committed_code_is_up_to_date() {
    let package = Path::new(env!("CARGO_MANIFEST_DIR"));
    let output = tempfile::tempdir().expect("a directory");
    tansyhall_proto_gen::generate(&package.join("proto"), output.path()).expect("code");
    let file = "tansyhall.peers.rs";
    let fresh = std::fs::read_to_string(output.path().join(file)).expect("fresh code");
    let committed = std::fs::read_to_string(package.join("src/generated").join(file));
    assert!(
        committed.expect("committed code") == fresh,
        "run `cargo run -p tansyhall-proto-gen`"
    );
}
