#!/bin/sh
# Builds the stand-ins of the second review, offline, into a folder of their own under target/.
set -eu
cd "$(dirname "$0")/.."
cp Cargo.lock review/stand-ins-2/Cargo.lock
CARGO_TARGET_DIR=target/review-2 exec cargo build --release --offline \
    --manifest-path review/stand-ins-2/Cargo.toml
