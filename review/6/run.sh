#!/bin/sh
# Runs the case. TROUBLE=0 runs it without the disruption.
cd "$(dirname "$0")/../.." || exit 2
exec node target/review-2/6.cjs
