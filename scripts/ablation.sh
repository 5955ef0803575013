#!/bin/sh
# Plays the standard days of sites with each mechanism switched off in turn, and with none, and
# prints a line for each: ablation.sh BENCH PLAYS SITE... [-- MECHANISM...]
# Works on a copy of this tree in a temporary directory; entries of the journal are copied back.
set -eu
bench=$(realpath "$1")
plays=$2
shift 2
here=$(cd "$(dirname "$0")/.." && pwd)
sites=
while [ $# -gt 0 ] && [ "$1" != -- ]; do
	sites="$sites $(realpath "$1")"
	shift
done
[ $# -gt 0 ] && shift
mechanisms=$*
[ -n "$mechanisms" ] || mechanisms="none $(sed -n '/^var names = /,/^}/p' "$here/policy/mechanism/mechanism.go" | grep -o '"[a-z-]*"' | tr -d '"')"

copy=$(mktemp -d)
trap 'rm -rf "$copy"' EXIT
git -C "$here" ls-files | grep -v '^journal/' | tar -C "$here" -cf - -T - | tar -C "$copy" -xf -
mkdir "$copy/journal"
cd "$copy"
git init -q && git add -A && git -c user.name=ablation -c user.email=ablation@localhost commit -qm copy

for m in $mechanisms; do
	run="target/hibiscusspur gateway"
	[ "$m" = none ] || run="$run --policy-off $m"
	sed -i "s|^run = .*|run = \"$run\"|" deploy/system.toml
	for site in $sites; do
		i=0
		while [ $i -lt "$plays" ]; do
			i=$((i + 1))
			"$bench" score "$site" --jobs "${JOBS:-4}" --why "ablation: without $m" >out.txt 2>&1 || true
			awk -v m="$m" -v site="$(basename "$site" .toml)" '
				$2 ~ "/" && /^(trouble|scale)-/ { sum += $4; n++ }
				$2 ~ "/" && /^quiet-/ { quiet = $4 }
				/^GATE/ { gate = $2 }
				END { printf "%-14s %-28s trouble %.3f quiet %.3f gate %s\n", m, site, n ? sum / n : 0, quiet, gate }' out.txt
		done
	done
	cp -rn journal/. "$here/journal/"
done
