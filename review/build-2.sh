#!/bin/sh
# Builds every stand-in that the scripts of the second review start. Needs no network.
set -e
cd "$(dirname "$0")/.."
exec cargo build --release --offline --locked --manifest-path review/stand-ins-2/Cargo.toml --target-dir target/review-2
