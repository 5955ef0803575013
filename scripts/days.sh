#!/bin/bash
# Plays every day of deploy/days, each one kind of trouble alone, on a site, and prints a
# line each: BENCH is the users' bench, SITE its file of a deployment.
#   scripts/days.sh BENCH SITE [JOBS]
set -euo pipefail
bench=$(realpath "$1") site=$(realpath "$2")
cd "$(dirname "$0")/.."
one() {
	out=$("$1" run "$2" "$3" --why "days of one kind" 2>&1) || true
	line=$(grep -A1 '^day  ' <<<"$out" | tail -1 | cut -c1-140)
	printf '%s\n' "${line:-$3 was not played: $(tail -1 <<<"$out" | cut -c1-120)}"
}
export -f one
find deploy/days -name '*.toml' | sort | xargs -P "${3:-4}" -I{} bash -c 'one "$@"' _ "$bench" "$site" {}
