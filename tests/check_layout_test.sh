#!/usr/bin/env bash
# Test of scripts/check_layout.sh: it must accept a tree that follows the rules and report each planted violation.
set -euo pipefail
script=$(cd "$(dirname "$0")/.." && pwd)/scripts/check_layout.sh
folder=$(mktemp -d)
trap 'rm -rf "$folder"' EXIT
failed=0

make_tree() {
  rm -rf "$folder/tree"
  mkdir -p "$folder/tree/src" "$folder/tree/tests"
  cat >"$folder/tree/src/point.hpp" <<'HEADER'
#pragma once

/// A point.
struct Point {
  double x = 0;
  double y = 0;
  int distance(int from, int to) const;
};
HEADER
}
# expect STATUS TEXT: checks the tree and then restores it.
expect() {
  local status=$1 text=$2 got=0
  "$script" "$folder/tree" >"$folder/out" 2>&1 || got=$?
  if [[ $got != "$status" ]] || ! grep -Fq -- "$text" "$folder/out"; then
    echo "expected status $status and '$text', got $got and:" && cat "$folder/out"
    failed=1
  fi
  make_tree
}

make_tree
expect 0 "files are short"
seq 401 | sed 's#.*#// line#' >"$folder/tree/src/long.cpp"
expect 1 "src/long.cpp has 401 lines, 400 at most"
seq 400 | sed 's#.*#// line#' >"$folder/tree/src/long.cpp"
expect 0 "files are short"
seq 501 | sed 's#.*#// line#' >"$folder/tree/tests/long_test.cpp"
expect 1 "tests/long_test.cpp has 501 lines, 500 at most"
sed -i 's/  double x = 0;/  double x = 0, z = 0;/' "$folder/tree/src/point.hpp"
expect 1 "several members in one declaration: src/point.hpp:5"
sed -i 's/  double x = 0;/  std::vector<int> first, second;/' "$folder/tree/src/point.hpp"
expect 1 "several members in one declaration: src/point.hpp:5"
sed -i '/A point/d' "$folder/tree/src/point.hpp"
expect 1 "no doc comment: src/point.hpp:3: struct Point"
exit "$failed"
