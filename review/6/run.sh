#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held and 2 if the case could not run.
# TROUBLE=0 plays it without the disruption.
set -u
cd "$(dirname "$0")" || exit 2
top=$(cd ../.. && pwd) || exit 2
trouble=true
[ "${TROUBLE:-1}" != 0 ] || trouble=false
[ -x "$top/target/review-2" ] || { echo "review/build-2.sh has not been run" >&2; exit 2; }
exec "$top/target/review-2" -case reborn -repository "$top" -record "$PWD/record.txt" -trouble="$trouble"
