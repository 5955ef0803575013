#!/bin/bash
# Runs all tests. A failure that KNOWN-RED.txt lists by package, test and assertion is printed and passed over; any
# other fails the run. A listed test that did not fail is printed as well.
set -uo pipefail
cd "$(dirname "$0")/.."
out=$(mktemp)
trap 'rm -f "$out"' EXIT
go test "$@" ./... >"$out" 2>&1
status=$?
cat "$out"
go run ./internal/knownred/check $status <"$out"
