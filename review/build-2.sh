#!/bin/bash
# Builds what the cases of the second review start beside the gateway. Needs no network: the package has no dependencies.
set -eu
cd "$(dirname "$0")/.."
exec cargo build --release --offline --locked --manifest-path review/harness-2/Cargo.toml --target-dir target/review-2
