import assert from 'node:assert/strict';
import {spawn} from 'node:child_process';
import fs, {
	mkdtempSync, openSync, readFileSync, rmSync,
} from 'node:fs';
import {tmpdir} from 'node:os';
import path from 'node:path';
import process from 'node:process';
import test from 'node:test';
import {createDescriptorSink, createLineLog, type LineSink} from './line-log.js';
import {type MeshEvent} from './mesh-log.js';

type Line = {readonly kind: string; readonly level: number; readonly of?: string; readonly count?: number};

function createFakeSink(bufferedBytes = 0): {readonly sink: LineSink; readonly lines: Line[]} {
	const lines: Line[] = [];
	return {
		lines,
		sink: {
			write(line) {
				lines.push(JSON.parse(line) as Line);
			},
			countBufferedBytes: () => bufferedBytes,
			flush: async () => undefined,
		},
	};
}

const refused: MeshEvent = {
	kind: 'gate-refused', call: 'c', server: 's', reason: 'full', rank: 1, running: 1, waiting: 1, serviceMs: 1, mayWaitMs: 1,
};

test('lines of one kind are rate-limited without displacing other kinds, and the dropped lines are counted', async () => {
	const {sink, lines} = createFakeSink();
	const log = createLineLog('n1', 'info', sink);
	for (let count = 0; count < 500; count++) {
		log.record('info', refused);
	}

	log.record('info', {kind: 'store-back', afterMs: 5});
	log.record('debug', {kind: 'store-back', afterMs: 6});
	await log.flush();
	assert.equal(lines.filter(({kind}) => kind === 'gate-refused').length, 25);
	assert.equal(lines.filter(({kind}) => kind === 'store-back').length, 1);
	assert.deepEqual(lines.filter(({kind}) => kind === 'lines-dropped').map(({of, count}) => [of, count]), [['gate-refused', 475]]);
});

test('lines about the end of calls have a higher rate limit than other kinds', async () => {
	const {sink, lines} = createFakeSink();
	const log = createLineLog('n1', 'info', sink);
	for (let count = 0; count < 500; count++) {
		log.record('info', {
			kind: 'request-refused', call: `c${count}`, status: 503, reason: 'x', host: 'h', path: '/', version: 1,
		});
	}

	await log.flush();
	assert.equal(lines.filter(({kind}) => kind === 'request-refused').length, 200);
	assert.deepEqual(lines.filter(({kind}) => kind === 'lines-dropped').map(({of, count}) => [of, count]), [['request-refused', 300]]);
});

test('when the output is not read, lines about failures are dropped last', () => {
	const {sink, lines} = createFakeSink(200_000);
	const log = createLineLog('n1', 'info', sink);
	log.record('info', refused);
	log.record('warn', {kind: 'store-lost', call: 'read', reason: 'no answer'});
	assert.deepEqual(lines.map(({kind}) => kind), ['store-lost']);
});

const program = `
import {createDescriptorSink, createLineLog} from ${JSON.stringify(new URL('line-log.js', import.meta.url).href)};
const log = createLineLog('n1', 'info', createDescriptorSink(1));
let turns = 0;
const timer = setInterval(() => {
	for (let line = 0; line < 50; line++) {
		log.record('warn', {kind: 'store-lost', call: 'x'.repeat(2000), reason: 'test'});
	}
	turns++;
	if (turns === 40) {
		clearInterval(timer);
		process.stderr.write('went on\\n', () => process.exit(0));
	}
}, 5);
`;

test('a reader that stops reading blocks neither the process nor its exit', {timeout: 20_000}, async context => {
	// The pipe is not read: it is full after 64 KB of the 4 MB written.
	const child = spawn('sh', ['-c', '("$0" --input-type=module -e "$1"; echo exited >&2) | sleep 30', process.execPath, program], {stdio: ['ignore', 'ignore', 'pipe'], detached: true});
	context.after(() => {
		process.kill(-child.pid!, 'SIGKILL');
	});
	let output = '';
	child.stderr.setEncoding('utf8');
	await new Promise<void>(resolve => {
		child.stderr.on('data', (text: string) => {
			output += text;
			if (output.includes('exited')) {
				resolve();
			}
		});
	});
	assert.equal(output, 'went on\nexited\n');
});

// Guards against an exit that a slow disk delays: a process does not end while a thread of its thread pool waits for `fsync`.
test('the last lines are written before an exit, and nothing waits for the disk', async context => {
	const folder = mkdtempSync(path.join(tmpdir(), 'stonemoor-log-'));
	context.after(() => {
		rmSync(folder, {recursive: true});
	});
	const file = path.join(folder, 'log');
	const sync = context.mock.method(fs, 'fsync', () => undefined);
	const sink = createDescriptorSink(openSync(file, 'a'));
	// The first lines are being written while more follow, and the last ones are too few to be written without a flush.
	const lines = ['ä'.repeat(5000), 'b'.repeat(3000), 'ö'.repeat(20_000), 'd', 'é'];
	for (const line of lines) {
		sink.write(`${line}\n`);
	}

	await sink.flush();
	assert.equal(sync.mock.callCount(), 0);
	assert.equal(sink.countBufferedBytes(), 0);
	assert.equal(readFileSync(file, 'utf8'), `${lines.join('\n')}\n`);
});
