#!/usr/bin/env bash
# Runs one case: run.sh FOLDER PROGRAM. The program starts the gateways with the `run` of the deploy file, plays the
# clients, hosts, discovery and the counter service, writes FOLDER/record.txt and ends the gateways.
folder=$1
program=$(cd "$folder" && realpath "$2")
CASE_ROOT=$(cd "$(dirname "$0")/../.." && pwd)
CASE_RUN=$(sed -n 's/^run = "\(.*\)"$/\1/p' "$CASE_ROOT/deploy/balancer.toml")
CASE_TMP=$(mktemp -d)
export CASE_ROOT CASE_RUN CASE_TMP
trap 'rm -rf "$CASE_TMP"' EXIT
if [[ ! -x $program || -z $CASE_RUN ]]; then
  echo "cannot run: build the project, then review/build.sh" >&2
  exit 2
fi
"$program" "$folder/record.txt" &
case=$!
# If this script is ended early, the case ends at once, and the gateways with it.
trap 'kill -KILL "$case" 2>/dev/null; exit 2' TERM INT HUP
wait "$case"
status=$?
cp "$CASE_TMP"/gateway-*.log "$folder" 2>/dev/null
((status == 0 || status == 1)) && exit "$status"
exit 2
