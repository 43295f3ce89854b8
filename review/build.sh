#!/bin/sh
# Builds the stand-ins of all cases with the standard library alone. Run from anywhere.
set -e
cd "$(dirname "$0")"
mkdir -p bin
for source in standins/case*.rs; do
    name=$(basename "$source" .rs)
    rustc --edition 2024 -O -o "bin/$name" "$source"
done
