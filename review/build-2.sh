#!/bin/sh
# Builds the stand-ins of the cases 6 to 10 with the Rust toolchain alone, without cargo, network or dependencies.
# Their programs are placed in target/review-2.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for source in review/standins-2/*.rs; do
    name=$(basename "$source" .rs)
    # These are modules of the others.
    case $name in platform | engines) continue ;; esac
    rustc --edition 2024 -O "$source" -o "target/review-2/$name"
done
