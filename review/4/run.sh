#!/usr/bin/env bash
# Plays the case; TROUBLE=0 leaves the disruption out. Writes what was sent, answered and run to
# record.txt in this folder. Exits with 1 if the rule was broken, 0 if it held, and 2 if the case
# could not run.
set -uo pipefail
cd "$(dirname "$0")/../.." || exit 2
record=review/4/record.txt
rm -f "$record"
[ -x target/trial ] && [ -x target/filbertusher ] || { echo "build first: the deploy file's build and review/build.sh" >&2; exit 2; }
timeout -k 5 118 target/trial stop "$record"
status=$?
[ "$status" -le 1 ] && [ -s "$record" ] || status=2
exit "$status"
