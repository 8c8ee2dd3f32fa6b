//! Generates the Rust code for the messages between nodes from their `.proto` files. The generated code is committed, so
//! that building the product does not require the generator.

#![forbid(unsafe_code)]

use std::path::Path;

use anyhow::{Context, Result};

/// Compiles `peers.proto` in `sources` and writes `tansyhall.peers.rs` into `output`.
pub fn generate(sources: &Path, output: &Path) -> Result<()> {
    let descriptors =
        protox::compile(["peers.proto"], [sources]).context("peers.proto cannot be compiled")?;
    let mut generator = prost_build::Config::new();
    generator.out_dir(output);
    generator.bytes(["."]);
    generator
        .compile_fds(descriptors)
        .context("the Rust code cannot be generated")
}
