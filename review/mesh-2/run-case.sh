#!/bin/sh
# Runs the program of a case: run-case.sh NUMBER. Exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
# The program exits with 10 if the rule was broken, so that an uncaught error is not taken for that.
cd "$(dirname "$0")/../.." || exit 2
program="target/review-2/$1.cjs"
if [ ! -f "$program" ]; then
	echo "$program is missing; run review/build-2.sh first" >&2
	exit 2
fi

timeout --kill-after=5 110 node "$program" &
child=$!
trap 'kill -TERM "$child" 2>/dev/null' TERM INT HUP
wait "$child"
code=$?
while kill -0 "$child" 2>/dev/null; do
	wait "$child"
	code=$?
done

case $code in
	0) exit 0 ;;
	10) exit 1 ;;
	*) exit 2 ;;
esac
