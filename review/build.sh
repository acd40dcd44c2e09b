#!/usr/bin/env bash
# Builds the stand-ins of the scripts; needs no network, as they have no dependencies.
set -euo pipefail
cd "$(dirname "$0")/standins"
cargo build --release --locked --offline --target-dir ../../target/review
