#!/usr/bin/env bash
# Builds the stand-ins of the cases into review/bin. Needs g++ only.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p bin
for number in 1 2 3; do
  [[ -f $number/case.cpp ]] || continue
  g++ -std=c++20 -O1 -Wall -Wextra -pthread -Icommon "$number/case.cpp" -o "bin/case-$number"
done
