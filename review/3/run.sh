#!/bin/sh
# Runs the case from any folder; see claim.txt. TROUBLE=0 runs it without the disruption.
here=$(cd "$(dirname "$0")" && pwd)
ROOT=$(cd "$here/../.." && pwd)
CASE=$(basename "$here")
WORK=$(mktemp -d) || exit 2
RECORD="$here/record.txt"
export ROOT WORK RECORD
[ -x "$ROOT/review/bin/case$CASE" ] && [ -x "$ROOT/target/release/flaxstand" ] || { rm -rf "$WORK"; exit 2; }
timeout -k 2 115 "$ROOT/review/bin/case$CASE"
code=$?
rm -rf "$WORK"
[ "$code" -le 1 ] || code=2
exit "$code"
