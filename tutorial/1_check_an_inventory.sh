#!/usr/bin/env bash
# Lesson 1: check an inventory before it is applied.
#
# `fuchsiaweir check FILE` opens no connections. It reports all findings in the file, each with its
# line, the value and the allowed values, and exits with 0 (valid) or 2 (findings).
set -euo pipefail
cd "$(dirname "$0")/.."
fuchsiaweir=${FW_BINARY:-build/fuchsiaweir}
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT

echo "1. The sample inventory of Kyushu is valid:"
"$fuchsiaweir" check examples/kyushu.ini

echo "2. A copy with a port out of range and an unknown key is invalid:"
sed -e '0,/^port = .*/s//port = 70000/' -e '0,/^role = agent/s//role = agent\ncolour = red/' \
  examples/kyushu.ini >"$work/broken.ini"
status=0
"$fuchsiaweir" check "$work/broken.ini" || status=$?
echo "   exit code $status"
[ "$status" = 2 ]
