#!/usr/bin/env bash
# Builds the drivers and stand-ins of the cases 6 to 10 under target/review-2. Run it after the
# build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for driver in review/{6,7,8,9,10}/driver.cc; do
  [ -e "$driver" ] || continue
  number=$(basename "$(dirname "$driver")")
  g++ -std=c++20 -O1 -Wall -Wextra -I review/common-2 -o "target/review-2/case$number" "$driver" \
    -lboost_json -lpthread
done
