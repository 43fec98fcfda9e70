#!/usr/bin/env bash
# Checks rules that clang-format and clang-tidy do not cover: file length, one member per declaration, documented types.
#   check_layout.sh [ROOT]
set -euo pipefail
cd "${1:-$(dirname "$0")/..}"
readonly max_source_lines=400 max_test_lines=500
failed=0
fail() {
  echo "check_layout: $*"
  failed=1
}

check_length() {
  local limit=$1 file
  shift
  while IFS= read -r -d '' file; do
    local lines
    lines=$(wc -l <"$file")
    ((lines <= limit)) || fail "$file has $lines lines, $limit at most"
  done < <(find "$@" \( -name '*.cpp' -o -name '*.hpp' \) -print0 | sort -z)
}
check_length $max_source_lines src
check_length $max_test_lines tests

mapfile -t headers < <(find src -name '*.hpp' | sort)

# readability-isolate-declaration of clang-tidy 14 checks local variables only.
while IFS= read -r line; do
  fail "several members in one declaration: $line"
done < <(grep -vHnE '^ +using ' "${headers[@]}" |
  grep -E ':[0-9]+: +(mutable |static |const )*[A-Za-z_:][A-Za-z0-9_:]*(<[^()]*>)? \w+( = [^,;()]+|\{[^}]*\})?, \w+[^()]*;' || true)

while IFS= read -r line; do
  fail "no doc comment: $line"
done < <(awk 'FNR == 1 { previous = "" }
              /^(enum class|class|struct) [A-Za-z]+.*\{/ && previous !~ /^(\/\/\/|template)/ {
                print FILENAME ":" FNR ": " $1 " " $2
              }
              { previous = $0 }' "${headers[@]}")

((failed)) || echo "check_layout: files are short, members stand alone, types in ${#headers[@]} headers are documented"
exit "$failed"
