#!/usr/bin/env bash
# Test of .clang-tidy: each kind of forbidden code is planted once and must be reported.
# Needs clang-tidy; scripts/lint.sh runs it before it trusts a clean report.
set -euo pipefail
config=$(cd "$(dirname "$0")/.." && pwd)/.clang-tidy
folder=$(mktemp -d)
trap 'rm -rf "$folder"' EXIT
failed=0

# expect CHECK: clang-tidy must report CHECK for the source on standard input.
expect() {
  cat >"$folder/planted.cpp"
  clang-tidy --quiet --config-file="$config" "$folder/planted.cpp" -- -std=c++20 >"$folder/out" 2>/dev/null || true
  grep -Fq "[$1" "$folder/out" || { echo "lint_config_test: a planted finding of $1 is not reported" && failed=1; }
}

expect readability-identifier-length <<'SOURCE'
int twice(int number) {
  int qq = number;
  return qq + number;
}
SOURCE
expect readability-function-cognitive-complexity <<'SOURCE'
int nested(int first, int second) {
  int sum = 0;
  for (int i = 0; i < first; ++i) {
    for (int j = 0; j < second; ++j) {
      if (i > j) {
        if (sum > i && i > 3 || j > 4) {
          while (sum > first) {
            if (sum % 2 == 0) --sum;
            else if (sum % 3 == 0) sum -= 2;
          }
        }
      }
    }
  }
  return sum;
}
SOURCE
expect readability-isolate-declaration <<'SOURCE'
int sum() {
  int first = 1, second = 2;
  return first + second;
}
SOURCE
expect readability-else-after-return <<'SOURCE'
int sign(int number) {
  if (number < 0) {
    return -1;
  } else {
    return 1;
  }
}
SOURCE
expect misc-unused-parameters <<'SOURCE'
int constant(int number) {
  return 4;
}
SOURCE
expect readability-identifier-naming <<'SOURCE'
int Wrong_Case(int number) {
  return number;
}
SOURCE
expect bugprone- <<'SOURCE'
int chosen(int number) {
  if (number > 3)
    return 1;
  else
    return 1;
}
SOURCE
expect performance- <<'SOURCE'
struct Big {
  Big(const Big& other);
  ~Big();
  int numbers[64];
};
int first(const Big big) {
  return big.numbers[0];
}
SOURCE
expect modernize-use-override <<'SOURCE'
struct Base {
  virtual ~Base() = default;
  virtual int value() const;
};
struct Derived : Base {
  virtual int value() const;
};
SOURCE
((failed)) || echo "lint_config_test: all planted findings are reported"
exit "$failed"
