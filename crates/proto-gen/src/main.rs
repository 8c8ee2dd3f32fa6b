//! `cargo run -p tansyhall-proto-gen`: generates the committed code of tansyhall-proto again. Run it at the root of the
//! workspace.

#![forbid(unsafe_code)]

use std::path::Path;

fn main() -> anyhow::Result<()> {
    let proto = Path::new("crates/proto");
    tansyhall_proto_gen::generate(&proto.join("proto"), &proto.join("src/generated"))
}
