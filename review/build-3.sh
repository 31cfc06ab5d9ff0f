#!/bin/sh
# Builds the stand-ins of the cases 11 to 15. No crate is needed.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-3
rustc --edition 2024 -O -o target/review-3/lab review/lab-3/lab.rs
