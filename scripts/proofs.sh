#!/bin/bash
# Runs the process-level tests against the built programs and prints one line per
# row of the table, or a seed of random faults; the output of those that failed comes first. Arguments are passed
# on to go test, such as -run TestMemoryIsFreed.
set -uo pipefail
cd "$(dirname "$0")/.."
out=$(mktemp -d)
trap 'rm -rf "$out"' EXIT
HIBISCUSSPUR_PROOFS=1 HIBISCUSSPUR_BIN=$PWD/bin go test -json -count=1 -parallel "${PROOFS_PARALLEL:-4}" -timeout 30m "$@" ./proofs >"$out/events"
code=$?
# A failure that KNOWN-RED.txt lists with all of its assertions is passed over. The events say which test a line is of.
go run ./internal/knownred/check -json "$out/text" $code <"$out/events" >"$out/verdict"
verdict=$?
[ $code = 0 ] || grep -vE '^(point|=== )' "$out/text"
grep -E '^point' "$out/text" | sort -k2n
grep -oE 'seed [0-9]+: [0-9]+ faults.*' "$out/text"
[ $code = 0 ] && exit 0
cat "$out/verdict"
exit $verdict
