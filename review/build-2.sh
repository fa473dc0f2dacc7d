#!/bin/sh
# Builds the stand-ins of review 2, after the build of the deploy file. Needs the compiler only.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-2
rustc --edition 2024 -O -A dead_code -o target/review-2/rig review/standin-2/main.rs
