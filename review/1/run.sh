#!/usr/bin/env bash
# Plays the case; see claim.txt. With TROUBLE=0 the same without the disruption; with SIGNAL=SIGKILL
# the node is killed, instead of stopped with SIGTERM. Exits with 1 if the rule was broken, 0 if it
# held, and 2 if the case could not run.
set -uo pipefail

export TROUBLE="${TROUBLE-1}"
if [[ $TROUBLE != 0 && $TROUBLE != 1 ]]; then
	echo "TROUBLE: found \"$TROUBLE\", must be 0 or 1" >&2
	exit 2
fi

export SIGNAL="${SIGNAL-SIGTERM}"
if [[ $SIGNAL != SIGTERM && $SIGNAL != SIGKILL ]]; then
	echo "SIGNAL: found \"$SIGNAL\", must be SIGTERM or SIGKILL" >&2
	exit 2
fi

folder=$(cd "$(dirname "${BASH_SOURCE[0]}")" && pwd)
exec bash "$folder/../run-case.sh" "$folder"
