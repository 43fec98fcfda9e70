#!/usr/bin/env bash
# Shows whether two builds of the laboratory decide alike. Every run of a scenario is reduced to lines of
# "scenario seed figure value"; a run's fingerprint covers every event in order, so one changed decision shows.
#
#   compare_results.sh record LAB FOLDER SCENARIO...   runs each scenario on seeds 1 to 10 and keeps the figures
#   compare_results.sh compare FOLDER FOLDER           exit 0: equal, 1: the first differences are printed
#
# Titles that a later version renamed are compared under their new names (renamed_titles.txt, "old new" a line).
# The scenario's hash and the program's version are left out: both change without a decision.
set -euo pipefail
titles=$(cd "$(dirname "$0")" && pwd)/renamed_titles.txt
readonly titles seeds=10

usage() {
  sed -n '5,6s/^#   //p' "$0" >&2
  exit 2
}

# A table as lines "row title value".
csv_to_lines() {
  awk -F, '/^#/ { next } !seen { for (i = 1; i <= NF; ++i) title[i] = $i; seen = 1; next }
           { ++row; for (i = 1; i <= NF; ++i) print row, title[i], $i }' "$1"
}

record() {
  local lab=$1 folder=$2 scenario seed name run
  shift 2
  mkdir -p "$folder"
  for scenario in "$@"; do
    name=$(basename "$scenario" .toml)
    for ((seed = 1; seed <= seeds; ++seed)); do
      run=$(mktemp -d)
      # A run that breaks a rule exits with 1 and is recorded like any other.
      "$lab" run "$scenario" --seed "$seed" --out "$run" >"$run/figures.txt" || (($? == 1))
      { cat "$run/figures.txt"; csv_to_lines "$run/runs.csv"; csv_to_lines "$run/timeline.csv"; } \
        >"$folder/$name-$seed.txt"
      rm -rf "$run"
    done
  done
}

normalized() {
  awk 'FILENAME == ARGV[1] { new[$1] = $2; next }
       { for (i = 1; i <= NF; ++i) if ($i in new) $i = new[$i] }
       $2 == "hash" || $2 == "version" || $2 ~ /^\(/ { next }
       { $1 = $1; print }' "$titles" "$1" | sort
}

compare() {
  local first=$1 second=$2 file differs=0
  if ! diff <(cd "$first" && ls) <(cd "$second" && ls); then
    echo "the folders hold different runs"
    return 1
  fi
  [[ -n $(ls "$first") ]] || usage
  for file in "$first"/*.txt; do
    if ! diff <(normalized "$file") <(normalized "$second/$(basename "$file")") >/tmp/compare_results.$$; then
      echo "$(basename "$file" .txt) differs:" && head -6 "/tmp/compare_results.$$"
      differs=1
    fi
  done
  rm -f "/tmp/compare_results.$$"
  ((differs)) || echo "$(find "$first" -name '*.txt' | wc -l) runs are equal"
  return "$differs"
}

case ${1:-} in
  record) (($# >= 4)) || usage; shift; record "$@" ;;
  compare) (($# == 3)) || usage; compare "$2" "$3" ;;
  *) usage ;;
esac
