//! Generates the Rust code of the messages between nodes from their `.proto` files. The result is
//! committed, so that building the product needs no generator.

#![forbid(unsafe_code)]

use std::path::Path;

use anyhow::{Context, Result};

/// Compiles `peers.proto` in `sources` and writes `tansyhall.peers.rs` into `output`.
pub fn generate(sources: &Path, output: &Path) -> Result<()> {
    let descriptors = protox::compile(["peers.proto"], [sources]).context("peers.proto")?;
    let mut generator = prost_build::Config::new();
    generator.out_dir(output);
    generator.bytes(["."]);
    generator
        .compile_fds(descriptors)
        .context("the code cannot be written")
}
