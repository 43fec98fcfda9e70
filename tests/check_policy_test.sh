#!/usr/bin/env bash
# Test of scripts/check_policy.sh: it must accept the current tree and report each planted violation.
set -euo pipefail
root=$(cd "$(dirname "$0")/.." && pwd)
folder=$(mktemp -d)
trap 'rm -rf "$folder"' EXIT
failed=0

# expect STATUS TEXT: checks the copy and then restores it.
expect() {
  local status=$1 text=$2 got=0
  "$root/scripts/check_policy.sh" "$folder/tree" >"$folder/out" 2>&1 || got=$?
  if [[ $got != "$status" ]] || ! grep -Fq -- "$text" "$folder/out"; then
    echo "expected status $status and '$text', got $got and:" && cat "$folder/out"
    failed=1
  fi
  restore_copy
}
restore_copy() {
  rm -rf "$folder/tree"
  mkdir -p "$folder/tree"
  cp -r "$root/src" "$root/deploy" "$folder/tree"
}

restore_copy
expect 0 'no I/O'
for header in '<fstream>' '<iostream>' '<sys/socket.h>' '<simdjson.h>' '<thread>' '"util/log.hpp"' '"net/connection.hpp"' '<boost/asio.hpp>'; do
  echo "#include $header" >>"$folder/tree/src/policy/slow_start.cpp"
  expect 1 "include $header may not be included"
done
echo '#include <fstream>' >>"$folder/tree/src/policy/slow_start.hpp"
expect 1 'may not be included'
echo 'auto now() { return std::chrono::steady_clock::now(); }' >>"$folder/tree/src/policy/slow_start.cpp"
expect 1 'reads a clock'
echo 'constexpr double kTuned = 2;' >>"$folder/tree/src/policy/slow_start.hpp"
expect 1 'a constant in a header'
echo 'inline double half() { return 0.5; }' >>"$folder/tree/src/policy/slow_start.hpp"
expect 1 'a constant in a header'
for ((n = 0; n < 100; ++n)); do echo 'int unused;'; done >>"$folder/tree/src/policy/slow_start.cpp"
expect 0 'no I/O' # the number of lines is not limited
printf '// %0120d\n' 0 >>"$folder/tree/src/policy/slow_start.cpp"
expect 1 'over 110 columns'
touch "$folder/tree/src/policy/another.cpp"
expect 1 'lists other files'
exit "$failed"
