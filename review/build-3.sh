#!/usr/bin/env bash
# Builds the stand-ins that the scripts of cases 11 to 15 start, into target/review-3. They use
# the standard library only.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-3
for source in review/standin-3/*.rs; do
  name="$(basename "$source" .rs)"
  if [ "$name" != platform ]; then
    rustc --edition 2024 -O -A dead_code -o "target/review-3/$name" "$source"
  fi
done
