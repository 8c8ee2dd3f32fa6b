#!/bin/sh
# Runs the case program $1 in the folder of the case. Exits with 1 if the rule was broken, 0 if it held, 2 if the case
# could not run or was stopped. All processes that it started end with it.
program="../standins/target/release/$1"
for needed in "$program" ../../target/release/tansyhall; do
    if [ ! -x "$needed" ]; then
        echo "cannot run: $needed is missing; build the system, then run review/build.sh" >&2
        exit 2
    fi
done
"$program" &
pid=$!
trap 'kill -TERM "$pid" 2>/dev/null; wait "$pid"; exit 2' TERM INT HUP
wait "$pid"
code=$?
[ "$code" -le 1 ] && exit "$code"
exit 2
