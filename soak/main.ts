#!/usr/bin/env node
/**
 * `npm run soak -- --seed N --seconds S --nodes K`: plays a soak, prints a
 * summary, and ends with code 1 if a promise was broken.
 *
 * @module
 */
import {
	mkdirSync, mkdtempSync, rmSync, writeFileSync,
} from 'node:fs';
import {tmpdir} from 'node:os';
import path from 'node:path';
import process from 'node:process';
import yargs from 'yargs';
import {hideBin} from 'yargs/helpers';
import {planSoak} from './plan.js';
import {formatExplanations, formatSummary} from './report.js';
import {runSoak} from './run-soak.js';

/** Milliseconds until a change has to be in force at calm nodes, unless said otherwise. */
const defaultApplyMs = 4000;

const options = await yargs(hideBin(process.argv))
	.scriptName('soak')
	.option('seed', {type: 'number', default: 1, describe: 'repeats a plan'})
	.option('seconds', {type: 'number', default: 40, describe: 'how long, with the quiet time at the start and the end'})
	.option('nodes', {type: 'number', default: 8, describe: 'how many nodes, each a process'})
	.option('apply', {type: 'number', default: defaultApplyMs, describe: 'milliseconds until a change has to be in force'})
	.option('out', {type: 'string', describe: 'folder for the plan, settings, logs and stories; without it, a temporary one that is kept if a promise was broken'})
	.strict()
	.help()
	.parse();

/** Characters of a text that the record keeps: what is wrong shows in the violation. */
const maxTextCharacters = 200;

const truncateText = (_key: string, value: unknown): unknown => typeof value === 'string' ? value.slice(0, maxTextCharacters) : value;

for (const signal of ['SIGINT', 'SIGTERM', 'SIGHUP'] as const) {
	process.once(signal, () => {
		process.exit(1);
	});
}

const folder = options.out ?? mkdtempSync(path.join(tmpdir(), 'stonemoor-soak-'));
mkdirSync(folder, {recursive: true});
const plan = planSoak(options);
writeFileSync(path.join(folder, 'plan.json'), JSON.stringify(plan, undefined, '\t'));
const outcome = await runSoak(plan, {
	folder, applyMs: options.apply,
	reportViolation(text) {
		process.stdout.write(`${text}\n`);
	},
});
const summary = formatSummary(outcome);
const explanations = formatExplanations(outcome);
process.stdout.write([...summary, ...explanations, ''].join('\n'));
writeFileSync(path.join(folder, 'summary.txt'), [...summary, ...explanations, ''].join('\n'));
const isBroken = outcome.violations.length > 0;
if (isBroken) {
	writeFileSync(path.join(folder, 'record.json'), JSON.stringify(outcome.record, truncateText));
}

if (isBroken || options.out !== undefined) {
	process.stdout.write(`plan, logs and stories: ${folder}\n`);
} else {
	rmSync(folder, {recursive: true});
}

// Callers that left may still hold connections open.
process.exit(isBroken ? 1 : 0);
