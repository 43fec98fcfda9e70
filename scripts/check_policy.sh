#!/usr/bin/env bash
# Checks the rules of the decision module: no I/O, no JSON, no clock, every tuned value in its sources, and lines
# of 110 columns at most. Reads the files that deploy/balancer.toml lists as `policy`, and the headers beside them.
#   check_policy.sh [ROOT]
set -euo pipefail
cd "${1:-$(dirname "$0")/..}"
readonly max_columns=110
failed=0
finding() {
  echo "check_policy: $*"
  failed=1
}

mapfile -t listed < <(sed -n 's/^policy = \[\(.*\)\]$/\1/p' deploy/balancer.toml | tr -d '" ' | tr ',' '\n')
mapfile -t sources < <(find src/policy -name '*.cpp' | sort)
mapfile -t helpers < <(find src/util -name '*.?pp' ! -name 'log.hpp' ! -name 'json_escape.hpp' | sort)  # those two belong to the log
mapfile -t headers < <(find src/policy src/policy_api -name '*.hpp' | sort)
[[ "${listed[*]}" == "${sources[*]}" ]] || finding "deploy/balancer.toml lists other files than src/policy/*.cpp"

# What may be included: the module's own folders, helpers without I/O, and headers of the standard library that do no I/O.
allowed='"(policy|policy_api)/[a-z_]+\.hpp"|"util/(call_pacer|decaying_counter|host_table|random_source|timer_table)\.hpp"|<(algorithm|array|chrono|cmath|compare|cstddef|cstdint|deque'
allowed+='|functional|map|memory|optional|random|string|string_view|unordered_map|utility|variant|vector)>'
while IFS= read -r line; do
  finding "$line may not be included"
done < <(grep -HE '^ *# *include' "${sources[@]}" "${headers[@]}" "${helpers[@]}" |
  grep -vE "include ($allowed)" || true)
while IFS= read -r line; do
  finding "reads a clock: $line"
done < <(grep -HnE '(system|steady|high_resolution)_clock|\btime\(' "${sources[@]}" "${headers[@]}" || true)

# Tuned values are defined in the sources alone.
while IFS= read -r line; do
  finding "a constant in a header: $line"
done < <(grep -HnE 'constexpr (double|int|Duration|std::)[^(]* k[A-Z]|\b[0-9]+\.[0-9]*[1-9]' src/policy/*.hpp || true)

lines=$(cat "${sources[@]}" | grep -cv '^[[:space:]]*$' || true)
while IFS= read -r line; do
  finding "over $max_columns columns: $line"
done < <(awk -v max=$max_columns 'length > max { print FILENAME ":" FNR }' "${sources[@]}" "${headers[@]}")
((failed)) || echo "check_policy: $lines lines in ${#sources[@]} sources, no I/O"
exit "$failed"
