#!/usr/bin/env bash
# Writes record.txt in this folder. Exit status: 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
for program in target/ragwortstile target/standins4; do
  if [ ! -x "$program" ]; then
    echo "$program is missing: run the build of deploy/system.toml and review/build-3.sh" >&2
    exit 2
  fi
done
timeout --kill-after=2 118 target/standins4 fan-out-in-an-outage review/11/record.txt
status=$?
[ "$status" -le 1 ] && exit "$status"
exit 2
