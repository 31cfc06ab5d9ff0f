#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 to 10, which use the standard library only.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for case in ballot foreign names relay poison; do
  rustc --edition 2024 -O -o "target/review-2/$case" "review/lab-2/$case.rs"
done
