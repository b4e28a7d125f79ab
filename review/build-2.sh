#!/bin/sh
# Builds the stand-ins of the scripts of the second review. They need the standard library only.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for source in review/src-2/case*.rs review/src-2/extra*.rs; do
    name=$(basename "$source" .rs)
    rustc --edition 2024 -O -o "target/review-2/$name" "$source"
done
