#!/bin/bash
# Plays the case; exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0: without the disruption.
cd "$(dirname "$0")" || exit 2
[ -d ../build ] || exit 2
work=$(mktemp -d) || exit 2
trap 'rm -rf "$work"' EXIT
timeout -k 5 110 java -Xmx1g -cp ../build SlowReaderOfLongAnswer "$(cd ../.. && pwd)" "$work" "$PWD/record.txt"
status=$?
[ "$status" -le 1 ] && exit "$status"
exit 2
