#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, and 2 if the case couldn't run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")" || exit 2
options=()
if [ "${TROUBLE:-1}" = 0 ]; then
  options=(--kill=false)
fi
timeout 100 ../second/.bin/case-7 --entry ../../target/entry --record record.txt --length-header length-header.txt "${options[@]}"
status=$?
[ "$status" -le 2 ] || status=2
exit "$status"
