#!/usr/bin/env bash
# Plays the case against the program that the deploy file builds. TROUBLE=0 leaves the disruption out.
set -u
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.." || exit 2
exec target/review-standins -case budget-in-outage -binary target/ragwortstile -record "$here/record.txt"
