#!/usr/bin/env bash
# Builds the programs of the review's cases into review/build/. Run it from the
# repository's root; needs only the compiler that the project declares.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p build
for case in [1-5]; do
  [ -f "$case/case.cc" ] || continue
  "${CXX:-g++}" -std=c++20 -O1 -Wall -Wextra -pthread "$case/case.cc" \
    -o "build/case-$case"
done
