#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. See claim.txt.
exec "$(dirname "$0")/../common-2/run-case.sh" "$(dirname "$0")"
