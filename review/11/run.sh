#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held and 2 if the case could not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/standins4 ] || { echo 'run review/build-3.sh first' >&2; exit 2; }
timeout --kill-after=2 118 target/standins4 fan-out-in-an-outage review/11
status=$?
[ "$status" -le 1 ] && exit "$status"
exit 2
