#!/usr/bin/env bash
# Plays the case `limits`; TROUBLE=0 leaves the disruption out. The programs and review/build-3.sh have to be built.
cd "$(dirname "$0")/../.." || exit 2
REVIEW_PROCESSES=$(mktemp) || exit 2
export REVIEW_PROCESSES
# Ends the processes that are left when this script is ended early.
finish() {
    [ -f "$REVIEW_PROCESSES" ] || return
    while read -r id; do kill -KILL "$id" 2>/dev/null; done < "$REVIEW_PROCESSES"
    rm -f "$REVIEW_PROCESSES"
}
trap finish EXIT
trap 'exit 2' INT TERM
[ -x target/review-3/driver ] || exit 2
timeout 115 target/review-3/driver limits review/15 &
wait $!
code=$?
[ "$code" -le 1 ] || exit 2
exit "$code"
