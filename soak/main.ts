#!/usr/bin/env node
/**
 * `npm run soak -- --seed N --seconds S --nodes K`: runs a soak, prints a summary,
 * and exits with code 1 if a promise was broken.
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

/** Default of `--apply`: time within which a configuration has to be in force at undisturbed nodes. */
const defaultApplyMs = 4000;

const options = await yargs(hideBin(process.argv))
	.scriptName('soak')
	.option('seed', {type: 'number', default: 1, describe: 'seed of the plan; the same seed gives the same plan'})
	.option('seconds', {type: 'number', default: 40, describe: 'duration in seconds, including the fault-free times at the start and the end'})
	.option('nodes', {type: 'number', default: 8, describe: 'number of nodes, each a process'})
	.option('apply', {type: 'number', default: defaultApplyMs, describe: 'milliseconds within which a configuration has to be in force at undisturbed nodes'})
	.option('out', {type: 'string', describe: 'folder for the plan, settings, logs and explanations; default: a temporary folder, kept only if a promise was broken'})
	.strict()
	.help()
	.parse();

/** Maximum length of a text in `record.json`. The violations state what is wrong with longer ones. */
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
	process.stdout.write(`plan, logs and explanations: ${folder}\n`);
} else {
	rmSync(folder, {recursive: true});
}

// Connections of callers that disconnected may still be open.
process.exit(isBroken ? 1 : 0);
