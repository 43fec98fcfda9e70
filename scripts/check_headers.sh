#!/usr/bin/env bash
# Compiles every header of src/ by itself: each must include everything that it uses.
#   check_headers.sh [ROOT]
set -euo pipefail
cd "${1:-$(dirname "$0")/..}"
readonly jobs=4

mapfile -t headers < <(find src -name '*.hpp' | sort)
((${#headers[@]})) || { echo "check_headers: no headers below src" && exit 1; }

compile() {
  local file=${1#src/}
  echo "#include \"$file\"" | g++ -std=c++20 -fsyntax-only -Isrc -Wall -Wextra -x c++ - || {
    echo "check_headers: $1 does not compile by itself"
    return 1
  }
}
export -f compile
printf '%s\0' "${headers[@]}" | xargs -0 -P "$jobs" -I{} bash -c 'compile "$1"' _ {} || exit 1
echo "check_headers: ${#headers[@]} headers compile by themselves"
