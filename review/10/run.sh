#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 plays it
# without the disruption. Needs the build of the deploy file and review/build-2.sh.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/fuchsiaweir ] && [ -x target/review-2/case10 ] || exit 2
timeout -k 1 110 target/review-2/case10 review/10
status=$?
[ "$status" -le 1 ] && exit "$status"
exit 2
