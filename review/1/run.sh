#!/usr/bin/env bash
# Plays the case once. Exit codes: 0 the rule held, 1 it was broken, 2 the case could not run.
# TROUBLE=0 plays it without the disruption.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/fuchsiaweir ] && [ -x target/review/case1 ] || exit 2
exec target/review/case1 review/1/record.txt
