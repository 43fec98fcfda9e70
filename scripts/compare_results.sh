#!/usr/bin/env bash
# Shows whether two builds of the laboratory make the same decisions: the first build's results are recorded, then the
# second's, then the two records are compared.
#
#   compare_results.sh record LAB FOLDER SCENARIO...   runs each scenario on seeds 1 to 10 and keeps the results
#   compare_results.sh compare FOLDER FOLDER           exit 0: equal, 1: the first differences are printed
#
# A record is one text file for each run, SCENARIO-SEED.txt: the summary that `lab run` prints and its two tables,
# runs.csv and timeline.csv, as lines "row title value". The summary's fingerprint covers every event of the run in order,
# so a single changed decision shows even where no figure changes.
#
# Before two records are compared, both are normalized; the rest must be equal word by word:
#   - Titles that a later version renamed get their new names (renamed_titles.txt, "old new" a line), so that a record of
#     an earlier version can be compared with a current one.
#   - Lines with the scenario's hash or the program's version are removed: both can change without a changed decision.
#   - Runs of spaces become one, and lines are sorted: the width and the order of columns are not results.
set -euo pipefail

titles=$(cd "$(dirname "$0")" && pwd)/renamed_titles.txt
readonly titles
readonly seeds=10
readonly shown_differences=6

usage() {
  sed -n '5,6s/^#   //p' "$0" >&2
  exit 2
}

# csv_to_lines TABLE: the table as lines "row title value". Rows count from 1; the comment at the end is left out.
csv_to_lines() {
  awk -F, '
    /^#/ { next }
    !titles_read { for (i = 1; i <= NF; ++i) title[i] = $i; titles_read = 1; next }
    { ++row; for (i = 1; i <= NF; ++i) print row, title[i], $i }
  ' "$1"
}

# record_run LAB SCENARIO SEED FILE: executes one run and writes its record.
record_run() {
  local lab=$1 scenario=$2 seed=$3 file=$4 folder
  folder=$(mktemp -d)
  # Exit code 1 means that the run violated an invariant; it is recorded like any other.
  "$lab" run "$scenario" --seed "$seed" --out "$folder" >"$folder/summary.txt" || (($? == 1))
  {
    cat "$folder/summary.txt"
    csv_to_lines "$folder/runs.csv"
    csv_to_lines "$folder/timeline.csv"
  } >"$file"
  rm -rf "$folder"
}

# record LAB FOLDER SCENARIO...
record() {
  local lab=$1 folder=$2 scenario seed
  shift 2
  mkdir -p "$folder"
  for scenario in "$@"; do
    for ((seed = 1; seed <= seeds; ++seed)); do
      record_run "$lab" "$scenario" "$seed" "$folder/$(basename "$scenario" .toml)-$seed.txt"
    done
  done
}

# normalized FILE: a record in the form in which records are compared; see the head of this script.
normalized() {
  awk '
    FILENAME == ARGV[1] { new_title[$1] = $2; next }
    { for (i = 1; i <= NF; ++i) if ($i in new_title) $i = new_title[$i] }
    $2 == "hash" || $2 == "version" { next }
    /\([0-9a-f]+\), seed [0-9]+, / { next }  # The head of the summary: "NAME (HASH), seed ..."
    { $1 = $1; print }   # Joins the words by single spaces.
  ' "$titles" "$1" | sort
}

# compare FOLDER FOLDER: returns 0 if all runs are equal.
compare() {
  local first=$1 second=$2 file run differs=0 differences
  if ! diff <(cd "$first" && ls) <(cd "$second" && ls); then
    echo "the folders hold different runs"
    return 1
  fi
  [[ -n $(ls "$first") ]] || usage
  for file in "$first"/*.txt; do
    run=$(basename "$file" .txt)
    if ! differences=$(diff <(normalized "$file") <(normalized "$second/$run.txt")); then
      echo "$run differs:"
      head -n "$shown_differences" <<<"$differences"
      differs=1
    fi
  done
  ((differs)) || echo "$(find "$first" -name '*.txt' | wc -l) runs are equal"
  return "$differs"
}

case ${1:-} in
  record)
    (($# >= 4)) || usage
    shift
    record "$@"
    ;;
  compare)
    (($# == 3)) || usage
    compare "$2" "$3"
    ;;
  *) usage ;;
esac
