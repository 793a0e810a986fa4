#!/usr/bin/env bash
# Builds the stand-ins and clients of the cases, without a network.
set -euo pipefail
cd "$(dirname "$0")/harness"
cargo build --release --offline
