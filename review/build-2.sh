#!/bin/sh
# Builds the programs of the cases 4 to 6, with the stand-ins that they start, into target/review-2. Needs the packages that the build
# of the deploy file has installed, and no network.
set -eu
cd "$(dirname "$0")/.."
if [ ! -x node_modules/.bin/esbuild ]; then
	echo 'review/build-2.sh: node_modules is missing; run the build of deploy/system.toml first' >&2
	exit 2
fi

for number in 4 5 6; do
	node_modules/.bin/esbuild "review/$number/case.ts" --bundle --platform=node --target=node20 --format=cjs --log-level=warning --outfile="target/review-2/$number.cjs"
done
