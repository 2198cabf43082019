#!/usr/bin/env bash
# Builds the stand-ins and clients of the cases. Needs no network after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
cargo build --locked --offline --release --manifest-path review/cases/Cargo.toml \
    --target-dir target/review
