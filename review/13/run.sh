#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")" || exit 2
[ -x ../third/.bin/case-13 ] && [ -x ../../target/entry ] || exit 2
RECORD=record.txt ENTRY=../../target/entry exec ../third/.bin/case-13
