#!/bin/sh
# Builds the programs of the cases 4 to 8, with the stand-ins that they contain, into target/review-2.
set -eu
cd "$(dirname "$0")/.."
for folder in review/4 review/5 review/6 review/7 review/8; do
	if [ -f "$folder/case.ts" ]; then
		node_modules/.bin/esbuild "$folder/case.ts" --bundle --platform=node --target=node20 --format=cjs --log-level=warning --outfile="target/review-2/$(basename "$folder").cjs"
	fi
done
