#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, and 2 if the case couldn't run. TROUBLE=0 leaves out the disruption.
cd "$(dirname "$0")" || exit 2
root=$(cd ../.. && pwd)
[ -x "$root/target/review/standin" ] && [ -x "$root/target/jaywheel" ] || exit 2
"$root/target/review/standin" leaving-reset "$root/target/jaywheel" record.txt
result=$?
[ $result -le 1 ] && exit $result
exit 2
