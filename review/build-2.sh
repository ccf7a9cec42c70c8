#!/usr/bin/env bash
# Builds the stand-ins of cases 6 to 10: one program without dependencies.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
exec rustc --edition 2024 -O -A dead_code -o target/review-2/case review/src-2/main.rs
