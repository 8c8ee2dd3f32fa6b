#!/bin/sh
# Builds the clients and stand-ins of the cases, without a network. The system itself is built as its deploy file says.
unset CARGO_TARGET_DIR
cd "$(dirname "$0")/standins" && exec cargo build --release --offline --locked
