#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
[ -x review/.bin/case-1 ] || { echo "run review/build.sh first"; exit 2; }
exec review/.bin/case-1 review/1
