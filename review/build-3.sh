#!/usr/bin/env bash
# Builds every stand-in that the scripts of review/11 to review/15 start, without a network.
set -euo pipefail
cd "$(dirname "$0")/.."
CARGO_TARGET_DIR=target/review-3 cargo build --release --offline --locked \
    --manifest-path review/stand-ins-3/Cargo.toml
