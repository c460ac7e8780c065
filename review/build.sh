#!/usr/bin/env bash
# Builds the programs of the cases, with the stand-ins that they start, into target/review. Needs
# the packages that the build of the deploy file has installed, and no network.
set -euo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")/.."
if [[ ! -x node_modules/.bin/esbuild ]]; then
	echo "review/build.sh: node_modules is missing; run the build of deploy/system.toml first" >&2
	exit 2
fi

for case in 1 2; do
	node_modules/.bin/esbuild "review/$case/run.ts" --bundle --platform=node --target=node20 \
		--format=esm --outfile="target/review/case-$case.mjs" --log-level=warning
done
