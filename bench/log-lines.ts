/**
 * `npm run bench -- log-lines`: measures the processor time of a log line of a
 * sidecar node: a line that is written, one over the limit of its kind, and one below
 * the log level.
 *
 * @module
 */
import {openSync} from 'node:fs';
import process from 'node:process';
import {createDescriptorSink, createLineLog, type LineLog} from '../src/lib/timeline/line-log.js';
import {type LogLevel, type MeshEvent} from '../src/lib/timeline/mesh-log.js';

const attempt = {
	server: 'i-88b1264385', node: 'sidecar-1', verdict: 'not-run', outcome: 'full', tookMs: 8, infoAgeMs: 120,
} as const;

/** The longest line that is common: the end of a call that three gates refused. */
const failedCall: MeshEvent = {
	kind: 'call-finished', call: '7436da22c06f66dc', route: 'r-54qy4na', version: 10, status: 503, verdict: 'not-run', reason: 'full: no slot in time', tookMs: 296, leftMs: 919,
	attempts: [attempt, attempt, attempt],
};

const refusal: MeshEvent = {
	kind: 'gate-refused', call: '7436da22c06f66dc', server: 'i-88b1264385', reason: 'full', rank: 1, running: 12, waiting: 24, serviceMs: 147, mayWaitMs: 304,
};

type Row = {
	readonly name: string;
	readonly level: LogLevel;
	readonly event: MeshEvent;
};

const rows: readonly Row[] = [
	// Lines of level `warn` and above have no limit by kind, so all of them are written.
	{name: 'written: the end of a failed call', level: 'warn', event: failedCall},
	{name: 'written: a refusal of a gate', level: 'warn', event: refusal},
	{name: 'left out beyond the bound of its kind', level: 'info', event: refusal},
	{name: 'below the level', level: 'debug', event: refusal},
];

/** Small enough for the buffer of the log, so that no line is dropped. */
const linesPerBatch = 300;
const batchCount = 200;

async function measureLineMicroseconds(log: LineLog, {level, event}: Row): Promise<number> {
	let spentMicroseconds = 0;
	for (let round = 0; round < batchCount; round++) {
		const before = process.cpuUsage();
		for (let line = 0; line < linesPerBatch; line++) {
			log.record(level, event);
		}

		const {user, system} = process.cpuUsage(before);
		spentMicroseconds += user + system;
		await new Promise(resolve => {
			setImmediate(resolve);
		});
	}

	return spentMicroseconds / (linesPerBatch * batchCount);
}

/** Measures and prints the table. */
export async function runLogLines(): Promise<void> {
	const log = createLineLog('bench', 'info', createDescriptorSink(openSync('/dev/null', 'w')));
	process.stdout.write('| line | microseconds of processor time |\n| --- | --- |\n');
	for (const row of rows) {
		await measureLineMicroseconds(log, row);
		const microseconds = await measureLineMicroseconds(log, row);
		process.stdout.write(`| ${row.name} | ${microseconds.toFixed(2)} |\n`);
	}

	await log.flush();
}
