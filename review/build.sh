#!/usr/bin/env bash
# Builds the stand-ins and drivers that the scripts of the review start.
set -euo pipefail
cd "$(dirname "$0")/.."
cargo build --release --locked --offline --manifest-path review/standins/Cargo.toml \
    --target-dir target/review
