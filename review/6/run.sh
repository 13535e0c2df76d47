#!/usr/bin/env bash
# Kills all processes behind links of 22 Mbit/s, after half a minute of conversations.
# Writes record.txt in this folder. Exit status: 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0 leaves the disruption out.
set -u
here=$(cd "$(dirname "$0")" && pwd) || exit 2
cd "$here/../.." || exit 2
[ -x target/review-standins-3 ] && [ -x target/ragwortstile ] || { echo "run the build of deploy/system.toml and review/build-2.sh first" >&2; exit 2; }
target/review-standins-3 reload "$here" &
pid=$!
trap 'kill "$pid" 2>/dev/null' TERM INT
wait "$pid"
