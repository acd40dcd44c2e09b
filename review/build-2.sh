#!/bin/sh
# Builds the stand-ins of the cases 6 to 10, without a network.
set -eu
root=$(cd "$(dirname "$0")/.." && pwd)
cargo build --release --offline --locked \
    --manifest-path "$root/review/standins-2/Cargo.toml" --target-dir "$root/target/review-2"
