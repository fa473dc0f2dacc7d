#!/bin/sh
# Builds the stand-ins of the review's scripts into target/review, with the compiler alone.
cd "$(dirname "$0")/.." || exit 2
mkdir -p target/review || exit 2
exec rustc --edition 2024 -O -o target/review/standin review/standin/main.rs
