#!/bin/sh
# Builds the stand-ins of the second review; they need the standard library alone.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-2
rustc --edition 2024 -O -C strip=none -o target/review-2/standin-2.new review/standin-2/main.rs
mv target/review-2/standin-2.new target/review-2/standin-2
