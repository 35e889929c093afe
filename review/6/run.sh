#!/usr/bin/env bash
# Plays this case for at most two minutes; TROUBLE=0 leaves out the disruption. Exits with 1 if the rule
# was broken, 0 if it held and 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
timeout --kill-after=2 117 target/review-standin2 -case restart -record review/6/record.txt
code=$?
[ "$code" -le 1 ] || code=2
exit "$code"
