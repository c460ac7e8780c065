import assert from 'node:assert/strict';
import test from 'node:test';
import {explainCall, parseLogLine, type LogLine} from './explain-call.js';
import {type AttemptRecord, type MeshEvent} from './mesh-log.js';

const createLine = (node: string, second: number, event: MeshEvent): LogLine => ({...event, node, time: new Date(Date.UTC(2026, 0, 1, 0, 0, second)).toISOString()});

const createAttempt = (outcome: string, changes: Partial<AttemptRecord> = {}): AttemptRecord => ({
	server: 'i-1', node: 'n2', verdict: 'not-run', outcome, tookMs: 7, infoAgeMs: 120, ...changes,
});

function createEnd(reason: string, status: number, attempts: readonly AttemptRecord[]): MeshEvent {
	return {
		kind: 'call-finished', call: 'c1', route: 'logs', version: 9, status, verdict: status === 503 ? 'not-run' : 'may-have-run', reason, tookMs: 30, leftMs: 900, attempts,
	};
}

test('for a request refused under load, the steps list the full gates of two nodes in order', () => {
	const lines = [
		createLine('n1', 3, createEnd('full: no slot in time', 503, [createAttempt('full')])),
		createLine('n2', 1, {
			kind: 'gate-refused', call: 'c1', server: 'i-1', reason: 'full', rank: 1, running: 12, waiting: 20, serviceMs: 130, mayWaitMs: 0,
		}),
		createLine('n1', 2, {
			kind: 'attempt-failed', call: 'c1', route: 'logs', attempt: createAttempt('full'), next: 'another server is tried',
		}),
		createLine('n1', 2, createEnd('answered', 200, [])),
	].map(line => 'call' in line && line.kind === 'call-finished' && line.status === 200 ? {...line, call: 'other'} : line);
	const explanation = explainCall(lines, 'c1');
	assert.equal(explanation?.steps.length, 3);
	assert.match(explanation.steps[0] ?? '', /gate of i-1 on n2 refused it \(full\): 12 running, 20 waiting/);
	assert.match(explanation.cause, /overloaded/);
});

test('a request with an unknown key is explained by the log line of its refusal, whether or not its own line at debug level is there', () => {
	const refusal = createLine('n1', 1, {
		kind: 'caller-refused', cause: 'unknown-key', place: '10.0.0.9 on route logs', reason: 'not authorized: no workspace holds the key', count: 3, call: 'c1',
	});
	const own = createLine('n1', 1, {
		kind: 'request-refused', call: 'c1', status: 401, reason: 'not authorized: no workspace holds the key', host: 'h', path: '/logs/1', version: 9,
	});
	const explanation = explainCall([refusal], 'c1');
	assert.match(explanation?.steps[0] ?? '', /n1 refused it \(unknown-key\): not authorized: no workspace holds the key \(10\.0\.0\.9 on route logs, the last of 3 such refusals\)/);
	assert.equal(explanation?.cause, 'not authorized: no workspace holds the key');
	assert.equal(explainCall([own], 'c1')?.cause, 'not authorized: no workspace holds the key');
});

test('a request whose key was withdrawn while it waited is explained, with its workspace', () => {
	const end = createEnd('unauthorized: the key was withdrawn while the request waited', 401, []);
	const explanation = explainCall([createLine('n1', 3, {...end, workspace: 'alpha'} as MeshEvent)], 'c1');
	assert.match(explanation?.steps[0] ?? '', /answered 401 .*workspace alpha, version 9/);
	assert.match(explanation?.cause ?? '', /new configuration version withdrew it/);
});

test('for a request lost with its node, the steps include the events of that node', () => {
	const lines = [
		createLine('n1', 3, createEnd('connection-lost: socket hang up', 502, [createAttempt('connection-lost', {verdict: 'may-have-run'})])),
		createLine('n2', 4, {
			kind: 'node-started', run: 'r2', service: 'logview', address: 'a',
		}),
		createLine('n3', 4, {
			kind: 'node-started', run: 'r9', service: 'logview', address: 'b',
		}),
		createLine('n2', 30, {kind: 'node-draining', reason: 'signal', requests: 1}),
	];
	const explanation = explainCall(lines, 'c1');
	assert.deepEqual(explanation?.steps.map(step => /node-started|answered 502/.exec(step)?.[0]), ['answered 502', 'node-started']);
	assert.match(explanation.cause, /connection was lost after the request had been sent/);
});

test('for a request without a matching route, the steps name the active version', () => {
	const explanation = explainCall([createLine('n1', 1, {
		kind: 'request-refused', call: 'c1', status: 404, reason: 'no route matches host and path', host: 'build.example', path: '/new/1', version: 8,
	})], 'c1');
	assert.match(explanation?.steps[0] ?? '', /refused it with 404.*version 8 in force/);
	assert.equal(explanation?.cause, 'no route matches host and path');
});

test('a request whose caller left before it was sent to a server is explained', () => {
	const explanation = explainCall([createLine('n1', 1, {
		kind: 'caller-left', call: 'c1', route: 'r-logs', waitedMs: 40,
	})], 'c1');
	assert.match(explanation?.steps[0] ?? '', /caller disconnected from n1 within 40 ms/);
	assert.equal(explanation?.cause, 'the caller left before the response');
});

test('an id without log lines has no explanation, and lines of other programs are ignored', () => {
	assert.equal(explainCall([], 'c1'), undefined);
	assert.equal(parseLogLine('listening on port 80'), undefined);
	assert.equal(parseLogLine('{"some":"json"}'), undefined);
	assert.equal(parseLogLine('12.5 host {"kind":"store-back","node":"n1","time":"2026-01-01T00:00:00Z","afterMs":5}')?.kind, 'store-back');
});
