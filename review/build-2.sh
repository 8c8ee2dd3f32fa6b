#!/bin/sh
# Builds every stand-in that the scripts of cases 4 to 8 start. Run it after the build of the deploy file.
set -e
cd "$(dirname "$0")/.."
CARGO_TARGET_DIR=target/review-2 cargo build --release --locked --manifest-path review/standins-2/Cargo.toml
