#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0 does the same without the disruption. Needs the build of the deploy file and review/build.sh.
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.." || exit 2
program=target/review/case$(basename "$here")
[ -x "$program" ] && [ -x target/release/heatherramp-fleet ] || { echo "not built: see review/build.sh"; exit 2; }
timeout -k 2 118 "$program" "review/$(basename "$here")/record.txt"
code=$?
[ "$code" -le 2 ] || code=2
exit "$code"
