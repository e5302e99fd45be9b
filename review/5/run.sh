#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0: without
# the disruption.
folder=$(cd "$(dirname "$0")" && pwd)
cd "$folder/../.."
program=target/review/case$(basename "$folder")
[ -x "$program" ] && [ -x target/platform/jaylane-gateway ] || exit 2
timeout 110 "$program" "$folder"
status=$?
[ $status -le 1 ] || exit 2
exit $status
