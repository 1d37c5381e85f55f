#!/bin/sh
# Builds the stand-ins that the cases start. They depend on nothing but the standard library, so
# that this needs no network.
set -eu
cd "$(dirname "$0")/standin"
exec cargo build --release --offline --locked --target-dir ../../target/review
