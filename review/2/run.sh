#!/bin/sh
# Runs the case from any folder; see claim.txt. TROUBLE=0 runs it without the disruption.
here=$(cd "$(dirname "$0")" && pwd)
ROOT=$(cd "$here/../.." && pwd)
CASE=$(basename "$here")
[ -x "$ROOT/review/bin/case$CASE" ] && [ -x "$ROOT/target/release/flaxstand" ] || exit 2
WORK=$(mktemp -d) || exit 2
RECORD="$here/record.txt"
export ROOT WORK RECORD
# The stand-in ends after 115 s at the latest, and with this script; the initiator ends with the stand-in.
timeout -k 2 115 "$ROOT/review/bin/case$CASE" &
pid=$!
trap 'kill "$pid" 2>/dev/null; wait "$pid" 2>/dev/null; rm -rf "$WORK"; exit 2' INT TERM HUP
wait "$pid"
code=$?
rm -rf "$WORK"
[ "$code" -le 1 ] || code=2
exit "$code"
