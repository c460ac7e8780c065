#!/bin/sh
# Runs the case. TROUBLE=0 runs it without the disruption.
exec "$(dirname "$0")/../mesh-2/run-case.sh" 6
