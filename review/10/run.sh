#!/bin/sh
# Runs case 10 from the root of the repository; the programs and the case have been built.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review-2/case10 ] || exit 2
exec target/review-2/case10 > /dev/null
