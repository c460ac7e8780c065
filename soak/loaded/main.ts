#!/usr/bin/env node
/**
 * `npm run soak:loaded -- --seed N --seconds S`: runs a loaded mesh, prints a summary, and exits with code 1 if a
 * promise was broken.
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
import {groupBy} from '../record.js';
import {runLoaded} from './run-loaded.js';
import {troubles} from './troubles/troubles.js';

const options = await yargs(hideBin(process.argv))
	.scriptName('soak:loaded')
	.option('seed', {type: 'number', default: 1, describe: 'seed of the events and of the load'})
	.option('seconds', {type: 'number', default: 40, describe: 'duration in seconds'})
	.option('rate', {type: 'number', default: 300, describe: 'requests of callers per second'})
	.option('burst', {type: 'number', default: 1.8, describe: 'factor of the load in bursts'})
	.option('share', {type: 'number', default: 0.54, describe: 'share of a core that each node may use'})
	.option('slots', {type: 'number', default: 8, describe: 'slots of each server'})
	.option('troubles', {
		type: 'string', default: '', describe: 'names of troubles beside the events, separated by commas',
		coerce(text: string): readonly string[] {
			const names = text.split(',').filter(name => name !== '');
			const unknown = names.filter(name => !(name in troubles));
			if (unknown.length > 0) {
				throw new Error(`--troubles has no ${unknown.join(', ')}; known are ${Object.keys(troubles).join(', ')}`);
			}

			return names;
		},
	})
	.option('out', {type: 'string', describe: 'folder for settings, logs and the record'})
	.strict()
	.help()
	.parse();

for (const signal of ['SIGINT', 'SIGTERM', 'SIGHUP'] as const) {
	process.once(signal, () => {
		process.exit(1);
	});
}

const folder = options.out ?? mkdtempSync(path.join(tmpdir(), 'stonemoor-loaded-'));
mkdirSync(folder, {recursive: true});
const {calls, nestedCalls, runs, stops, disturbances, troubleCounts, violations, failedNodes, lifetimes, loopDelays} = await runLoaded({
	seed: options.seed, seconds: options.seconds, perSecond: options.rate, burst: options.burst, processorShare: options.share, slots: options.slots,
	troubleNames: options.troubles, folder,
});
const statuses = [...groupBy(calls, ({status}) => status)].toSorted(([left], [right]) => left - right).map(([status, group]) => `${status}: ${group.length}`);
const counts = `${runs.length} executions, ${nestedCalls.length} calls of servers, ${stops.length} stops`;
process.stdout.write(`seed ${options.seed}, ${options.seconds} s: ${calls.length} requests (${statuses.join(', ')}), ${counts}\n`);
if (troubleCounts.size > 0) {
	const faults = [...groupBy(runs.filter(({answerFault}) => answerFault !== undefined), ({answerFault}) => answerFault)].map(([name, group]) => `${name} ${group.length}`);
	process.stdout.write(`troubles applied: ${[...troubleCounts].map(([name, count]) => `${name} ${count}`).join(', ')}; answers with a fault: ${faults.join(', ') || 'none'}\n`);
}

for (const [promise, group] of groupBy(violations, violation => violation.promise)) {
	process.stdout.write(`BROKEN  ${promise}: ${group.length} times\n${group.slice(0, 5).map(({what}) => `        ${what}\n`).join('')}`);
}

if (failedNodes.length > 0) {
	process.stdout.write(`BROKEN  processes do not end by themselves: ${failedNodes.join(', ')}\n`);
}

const isBroken = violations.length > 0 || failedNodes.length > 0;
if (isBroken || options.out !== undefined) {
	writeFileSync(path.join(folder, 'record.json'), JSON.stringify({
		calls, nestedCalls, runs, stops, disturbances, lifetimes, loopDelays, violations,
	}));
	process.stdout.write(`logs and record: ${folder}\n`);
} else {
	rmSync(folder, {recursive: true});
}

if (!isBroken) {
	process.stdout.write('every promise held\n');
}

process.exit(isBroken ? 1 : 0);
