//! `cargo run -p tansyhall-proto-gen`: rewrites the committed code of tansyhall-proto.

#![forbid(unsafe_code)]

use std::path::Path;

fn main() -> anyhow::Result<()> {
    let proto = Path::new("crates/proto");
    tansyhall_proto_gen::generate(&proto.join("proto"), &proto.join("src/generated"))
}
