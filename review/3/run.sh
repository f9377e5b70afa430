#!/bin/bash
# Plays the case; exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0: without the disruption.
cd "$(dirname "$0")" || exit 2
[ -f ../../gateway/target/deckfall.jsa ] || exit 2 # the build of the deploy file comes first
[ -f ../build/Case.class ] || exit 2 # then review/build.sh
work=$(mktemp -d) || exit 2
trap 'rm -rf "$work"' EXIT
timeout -k 5 110 java -Xmx1g -cp ../build SlowReaderOfLongAnswer "$(cd ../.. && pwd)" "$work" "$PWD/record.txt"
case $? in
    10) exit 0 ;; # the rule held
    11) exit 1 ;; # the rule was broken
    *) exit 2 ;;
esac
