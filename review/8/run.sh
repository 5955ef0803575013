#!/bin/sh
# Runs the case: 1 if the rule was broken, 0 if it held, 2 if it could not run. TROUBLE=0 runs it without the disruption.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/hibiscusspur ] && [ -x target/review-8 ] || exit 2
exec target/review-8 review/8/record.txt
