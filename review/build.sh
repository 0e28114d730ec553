#!/usr/bin/env bash
# Builds the drivers and stand-ins of the review's cases under target/review. Run it after the build
# of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
cmake -S review -B target/review -DCMAKE_BUILD_TYPE=Release >/dev/null
cmake --build target/review -j4
