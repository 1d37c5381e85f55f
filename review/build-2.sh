#!/usr/bin/env bash
# Builds every stand-in that the scripts of review/4 to review/8 start. Needs no network after the
# build of the deploy file: all crates are those of the project's own Cargo.lock.
set -euo pipefail
cd "$(dirname "$0")/.."
cargo build --release --offline --locked \
  --manifest-path review/stand-ins-2/Cargo.toml --target-dir target/review-2
