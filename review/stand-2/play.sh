#!/bin/sh
# Plays a case: play.sh CLASS FOLDER RECORD. Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run, also without a build.
folder=$(cd "$2" && pwd)
classes=$folder/../stand-2/target
broken=10 # status of a case whose rule was broken; a virtual machine that cannot start ends with 1
if [ ! -f "$classes/$1.class" ]; then
    echo "the case could not run: review/build-2.sh has not built $1" >&2
    exit 2
fi
if [ ! -f "$folder/../../gateway/target/deckfall.jsa" ]; then
    echo "the case could not run: the build of the deploy file comes first" >&2
    exit 2
fi
java -Xmx256m -cp "$classes" "$1" "$folder/../.." "$3" &
case_process=$!
trap 'kill $case_process' TERM INT
wait $case_process
status=$?
trap - TERM INT
wait $case_process 2> /dev/null
case $status in
    0) exit 0 ;;
    "$broken") exit 1 ;;
    *) exit 2 ;;
esac
