#!/bin/sh
# Builds the stand-ins that the scripts of this review start. They need nothing but Rust's standard library.
set -eu
cd "$(dirname "$0")/.."
exec cargo build --release --locked --offline \
    --manifest-path review/standins-2/Cargo.toml --target-dir target/review-2
