#!/bin/sh
# Runs the case in the folder that is given. Exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not
# run. TROUBLE=0 leaves the disruption out.
cd "$1" || exit 2
rm -f record.txt
python3 -B test.py &
test=$!
trap 'kill "$test" 2>/dev/null' TERM INT HUP
wait "$test"
result=$?
# A signal ends the first wait; the second one waits until the test has ended the front end.
wait "$test" 2>/dev/null
case "$result" in
    0) grep -q '^ *[0-9.]* test *held' record.txt && exit 0 ;;
    1) grep -q '^ *[0-9.]* test *broken' record.txt && exit 1 ;;
esac
exit 2
