#!/usr/bin/env bash
# Runs the program of a case: run-case.sh FOLDER. Exits with 1 if the rule was broken, 0 if it
# held, and 2 if the case could not run, and ends the program if it takes too long.
set -uo pipefail

program_file="$1/../../target/review/case-$(basename "$1").mjs"
if [[ ! -f $program_file ]]; then
	echo "$program_file is missing; run review/build.sh first" >&2
	exit 2
fi

timeout --kill-after=5 110 node "$program_file" "$1" &
program=$!
trap 'kill -TERM "$program" 2>/dev/null' TERM INT HUP
wait "$program"
code=$?
while kill -0 "$program" 2>/dev/null; do
	wait "$program"
	code=$?
done

case $code in
	0) exit 0 ;;
	10) exit 1 ;;
	*) exit 2 ;;
esac
