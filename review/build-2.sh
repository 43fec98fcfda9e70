#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 to 10 into build/review-2/. Needs a C++20 compiler and no library.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p build/review-2
pids=()
for source in review/{6,7,8,9,10}/case.cpp; do
  [ -f "$source" ] || continue
  "${CXX:-g++}" -std=c++20 -O1 -Wall -Wextra -pthread -o "build/review-2/case-$(basename "$(dirname "$source")")" "$source" &
  pids+=($!)
done
for pid in "${pids[@]}"; do wait "$pid"; done
