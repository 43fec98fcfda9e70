#!/usr/bin/env bash
# Test of compare_results.sh: equal runs compare as equal; a changed decision, a changed figure and a missing run are
# reported.
#
#   compare_results_test.sh LAB SCENARIO   exit 0: all comparisons gave what was expected
set -euo pipefail
script=$(cd "$(dirname "$0")/.." && pwd)/scripts/compare_results.sh
lab=$1 scenario=$2
folder=$(mktemp -d)
trap 'rm -rf "$folder"' EXIT
failed=0

# expect STATUS TEXT: compares the two folders; the exit status must be STATUS and the output must contain TEXT.
expect() {
  local status=$1 text=$2 got=0
  "$script" compare "$folder/before" "$folder/after" >"$folder/out" 2>&1 || got=$?
  if [[ $got != "$status" ]] || ! grep -Fq -- "$text" "$folder/out"; then
    echo "expected status $status and '$text', got $got and:" && cat "$folder/out"
    failed=1
  fi
}

# The scenario, shortened so that the test takes seconds.
sed 's/^length = .*/length = "2s"/' "$scenario" >"$folder/short.toml"
"$script" record "$lab" "$folder/before" "$folder/short.toml"
cp -r "$folder/before" "$folder/after"
expect 0 "10 runs are equal"

# A title of an earlier version in place of the current one, or the other way round, and wider columns: still equal.
sed -Ei -e 's/  +/     /' -e 's/utility_served/worth/;t' -e 's/worth/utility_served/' "$folder/after/short-7.txt"
! cmp -s "$folder/before/short-7.txt" "$folder/after/short-7.txt"
expect 0 "10 runs are equal"
cp "$folder/before/short-7.txt" "$folder/after/"

# One decision changed in one run: the fingerprint alone differs.
sed -Ei 's/^( *(finger)?print +).*/\10123456789abcdef/' "$folder/after/short-7.txt"
expect 1 "short-7 differs"
cp "$folder/before/short-7.txt" "$folder/after/"

# Different decisions in all runs: every gateway admits all requests, under the policy "all".
cat >"$folder/other_lab" <<END
#!/usr/bin/env bash
exec "$lab" "\$@" --policy all
END
chmod +x "$folder/other_lab"
rm -r "$folder/after"
"$script" record "$folder/other_lab" "$folder/after" "$folder/short.toml"
expect 1 "short-1 differs"

# A run is missing.
rm -r "$folder/after" && cp -r "$folder/before" "$folder/after" && rm "$folder/after/short-3.txt"
expect 1 "the folders hold different runs"
exit "$failed"
