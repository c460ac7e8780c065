/**
 * Bundles the sidecar daemon into one file: a start that loads one file costs a
 * fraction of one that loads hundreds.
 */
import {build} from 'esbuild';

await build({
	entryPoints: ['apps/sidecar/main.ts'],
	outfile: 'target/sidecar.js',
	bundle: true,
	platform: 'node',
	target: 'node20',
	format: 'esm',
	minifySyntax: true,
	banner: {js: 'import {createRequire as __createRequire} from \'node:module\'; const require = __createRequire(import.meta.url);'},
	logLevel: 'warning',
});
