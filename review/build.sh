#!/bin/sh
# Builds the stand-ins of all cases: one program without dependencies.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review
exec rustc --edition 2024 -O -o target/review/standin review/standin/main.rs
