#!/usr/bin/env bash
# Builds the programs of the cases 11 to 15, with the standard library only, after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-3
for source in review/src-3/case*.rs; do
  name=$(basename "$source" .rs)
  rustc --edition 2024 -O -o "target/review-3/$name" "$source"
done
