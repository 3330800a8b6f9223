#!/usr/bin/env bash
# Plays the case. Exits with 0 if the rule held, 1 if it was broken, 2 if the case could not run.
# With TROUBLE=0 the disruption is left out.
set -uo pipefail
cd "$(dirname "$0")" || exit 2
[ -x ../../target/release/oliveworks-gateway ] || { echo "target/release/oliveworks-gateway is missing"; exit 2; }
python3 case record.txt &
pid=$!
trap 'kill -TERM "$pid" 2>/dev/null; wait "$pid"; exit 2' INT TERM HUP
wait "$pid"
status=$?
case "$status" in 0 | 1 | 2) exit "$status" ;; *) exit 2 ;; esac
