#!/bin/sh
# Builds the stand-ins that the scripts start. They use the standard library only.
set -e
cd "$(dirname "$0")/.."
cargo build --release --offline --locked \
    --manifest-path review/standins/Cargo.toml --target-dir target/review
