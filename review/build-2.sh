#!/bin/sh
# Builds the stand-ins of the cases of REPORT-2.md, after the build of deploy/balancer.toml. Needs rustc alone.
set -eu
cd "$(dirname "$0")"
out=../target/review-2
mkdir -p "$out"
for case in */case.rs; do
    name=$(dirname "$case")
    rustc --edition 2024 -O -o "$out/case-$name" "$case"
done
