#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 to 10 into target/review-2. Needs g++ only.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
builds=()
for number in 6 7 8 9 10; do
  g++ -std=c++20 -O1 -Wall -Wextra -pthread -o "target/review-2/case-$number" \
    "review/$number/case.cc" review/harness-2/harness.cc &
  builds+=($!)
done
for build in "${builds[@]}"; do
  wait "$build"
done
