#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the cases start, into target/review. Needs the
# packages that the build of the deploy file has installed, and no network.
set -euo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")/.."
if [[ ! -x node_modules/.bin/esbuild ]]; then
	echo "review/build.sh: node_modules is missing; run the build of deploy/system.toml first" >&2
	exit 2
fi

node_modules/.bin/esbuild \
	stand-ins/platform-store/platform-store.ts stand-ins/settings-template.ts \
	--bundle --platform=node --target=node20 --format=esm --outdir=target/review --outbase=stand-ins \
	--entry-names=[name] --out-extension:.js=.mjs --log-level=warning
