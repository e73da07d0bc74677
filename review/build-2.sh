#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the cases 6 to 10 start. The program under review is built
# by the command in `deploy/system.toml`.
set -euo pipefail
cd "$(dirname "$0")/.."
cargo build --release --locked --offline \
    --manifest-path review/standins-2/Cargo.toml --target-dir target/review-2
