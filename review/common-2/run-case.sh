#!/usr/bin/env bash
# Runs one case: run-case.sh FOLDER. Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0 leaves out the disruption.
set -u
folder=$(cd "$1" && pwd)
root=$(cd "$folder/../.." && pwd)
stand_in="$root/build/review-2/case-$(basename "$folder")"
run=$(sed -n 's/^run = "\(.*\)"$/\1/p' "$root/deploy/balancer.toml")
if [ -z "$run" ] || [ ! -x "$root/build/merlinbridge" ] || [ ! -x "$stand_in" ]; then
  echo "could not run: build the project by its deploy file, then run review/build-2.sh" | tee "$folder/record.txt"
  exit 2
fi
work=$(mktemp -d)
# The stand-in starts the gateways. They end when it ends, however it ends, and it ends with this script, after 115 s at most.
"$stand_in" "$root" "$run" "$work" "$folder/record.txt" &
child=$!
trap 'kill "$child"; wait "$child"; rm -rf "$work"; exit 2' TERM INT
wait "$child"
code=$?
trap - TERM INT
for log in "$work"/*.log; do
  [ -f "$log" ] && { echo "---- $(basename "$log")"; head -c 20000 "$log"; } >>"$folder/record.txt"
done
rm -rf "$work"
case $code in 0 | 1) exit $code ;; *) exit 2 ;; esac
