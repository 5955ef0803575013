#!/bin/sh
# Plays this case; see claim.txt. TROUBLE=0 leaves the disruption out.
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
target/review-standin drain -gateway target/hibiscusspur -record review/3/record.txt -trouble "${TROUBLE:-1}"
code=$?
[ "$code" -le 1 ] || code=2
exit "$code"
