#!/bin/bash
# Plays every day of a folder on a site and prints a line each: BENCH is the users' bench,
# SITE its file of a deployment. deploy/days holds days of one kind of trouble alone,
# deploy/days/pairs the worst kinds two by two.
#   scripts/days.sh BENCH SITE [JOBS [FOLDER]]
set -euo pipefail
bench=$(realpath "$1") site=$(realpath "$2")
cd "$(dirname "$0")/.."
one() {
	out=$("$1" run "$2" "$3" --why "days of our own" 2>&1) || true
	line=$(grep -A1 '^day  ' <<<"$out" | tail -1 | cut -c1-140)
	printf '%s\n' "${line:-$3 was not played: $(tail -1 <<<"$out" | cut -c1-120)}"
}
export -f one
find "${4:-deploy/days}" -maxdepth 1 -name '*.toml' | sort | xargs -P "${3:-4}" -I{} bash -c 'one "$@"' _ "$bench" "$site" {}
