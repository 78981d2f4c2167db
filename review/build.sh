#!/usr/bin/env bash
# Builds every stand-in that a script of the review starts. Needs no network: the package has no dependencies.
set -euo pipefail
cd "$(dirname "$0")/.."
cargo build --release --offline --manifest-path review/stand-ins/Cargo.toml --target-dir target/review
