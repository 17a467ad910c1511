#!/usr/bin/env bash
# Builds the stand-ins that the scripts start. The platform's program is built by the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
cargo build --release --offline --locked --manifest-path review/stand-ins/Cargo.toml --target-dir target/review
