import assert from 'node:assert/strict';
import test from 'node:test';
import fc from 'fast-check';
import {isReachableAddress} from '../common/address.js';
import {toBackendServerId, toNodeId} from '../common/ids.js';
import {decodeReport, encodeReport} from './peer-report.js';
import {createSampleReport} from './sample-report.js';

/** Fixed seed, so that each run tests the same inputs. */
const seed = 20_260;

const encodeChanged = (position: number, value: unknown): string => {
	const fields = JSON.parse(encodeReport(createSampleReport())) as unknown[];
	fields[position] = value;
	return JSON.stringify(fields);
};

test('a decoded report equals the encoded one', () => {
	assert.deepEqual(decodeReport(encodeReport(createSampleReport()))._unsafeUnwrap(), createSampleReport());
	const bare = createSampleReport({
		server: undefined, isLeaving: true, isProbe: true, duties: {
			linkMbps: 10, isFollowing: false, storeSeenMs: undefined, storeEra: 2,
		},
	});
	assert.deepEqual(decodeReport(encodeReport(bare))._unsafeUnwrap(), bare);
});

test('the slowness of a server is decoded, and counts as absent if it is malformed', () => {
	const {server} = createSampleReport();
	const report = createSampleReport({server: {...server!, slowness: 2.25}});
	assert.deepEqual(decodeReport(encodeReport(report))._unsafeUnwrap(), report);
	const encoded = JSON.parse(encodeReport(report)) as unknown[];
	for (const value of ['slow', 0, -1, null, 1e9]) {
		const changed = encoded.with(8, (encoded[8] as unknown[]).with(12, value));
		assert.deepEqual(decodeReport(JSON.stringify(changed))._unsafeUnwrap(), createSampleReport());
	}
});

test('the priorities that a gate accepts and that wait there are decoded unchanged', () => {
	const {server} = createSampleReport();
	for (const load of [{leastUrgent: 0, waitingByPriority: [2, 1]}, {slowness: 2.25, leastUrgent: 0, waitingByPriority: [2, 1]}]) {
		const report = createSampleReport({server: {...server!, ...load}});
		assert.deepEqual(decodeReport(encodeReport(report))._unsafeUnwrap(), report);
	}
});

test('fields that a later program adds are ignored', () => {
	const later = JSON.stringify([...JSON.parse(encodeReport(createSampleReport())) as unknown[], {more: 1}]);
	assert.deepEqual(decodeReport(later)._unsafeUnwrap(), createSampleReport());
});

const invalidFields: ReadonlyArray<readonly [number, string, readonly unknown[]]> = [
	[0, 'node', [null, '', 5, [], 'x'.repeat(300)]],
	[1, 'run', [null, '', 5]],
	[2, 'sequence', [null, '1', -1, 0.5, 1e300]],
	[3, 'domain', [null, '', 5]],
	[4, 'gate', [null, '', 'nowhere', '127.0.0.1:0', '127.0.0.1:70000', 'localhost:1']],
	[5, 'gossip', [null, '', 'nowhere', '127.0.0.1:0', '127.0.0.1:70000', 'localhost:1']],
	[6, 'version', [null, '7', -1, 0.5, 1e300]],
	[7, 'isLeaving', [null, true, 2]],
	[8, 'server', [null, 1, false, {}, [], ['i-1'], ['i-1', 'logview', '12', 0, 0, 3, 1, 80, 125], ['i-1', null, 12, 0, 0, 3, 1, 80, 125]]],
	[9, 'duties', [null, 5, {}]],
	[9, 'duties.linkMbps', [[], [-1, 1, 1], ['9', 1, 1]]],
	[9, 'duties.isFollowing', [[1, true, 1]]],
	[9, 'duties.storeSeenMs', [[1, 1], [1, 1, -2], [1, 1, '5']]],
	[9, 'duties.storeEra', [[1, 1, 1], [1, 1, 1, -1], [1, 1, 1, 0.5], [1, 1, 1, '1']]],
	[10, 'periods', [null, 400]],
	[10, 'periods.ownDomainMs', [[], [-1, 400], [1e300, 400]]],
	[10, 'periods.otherDomainMs', [[400], [400, '400'], [400, 60_001]]],
	[11, 'isProbe', [null, true]],
];

for (const [position, name, values] of invalidFields) {
	test(`a report with an invalid ${name} is refused, with the value found and the value expected`, () => {
		for (const value of values) {
			const decoded = decodeReport(encodeChanged(position, value));
			assert.ok(decoded.isErr(), JSON.stringify(value));
			assert.ok(decoded.error.startsWith(`${name}: found `) && decoded.error.includes(', must be '), decoded.error);
		}
	});
}

test('a report with a malformed server is refused as a whole', () => {
	const encoded = JSON.parse(encodeReport(createSampleReport())) as unknown[];
	const server = encoded[8] as unknown[];
	for (const [position, value] of [[0, ''], [0, 1], [3, 7], [3, 'ready'], [3, -1], [9, 1.5], [9, '5'], [9, undefined], [9, -1], [2, '4']] as const) {
		const changed = encoded.with(8, server.with(position, value));
		assert.match(decodeReport(JSON.stringify(changed))._unsafeUnwrapErr(), /^server: found/, `${position}: ${value}`);
	}
});

test('property: any datagram decodes to a report with reachable addresses, or is refused', () => {
	const valid = encodeReport(createSampleReport());
	const changed = fc.tuple(fc.nat(valid.length), fc.nat(3), fc.string()).map(([position, length, text]) => valid.slice(0, position) + text + valid.slice(position + length));
	const swapped = fc.tuple(fc.nat(12), fc.jsonValue()).map(([position, value]) => encodeChanged(position, value));
	fc.assert(fc.property(fc.oneof(fc.string(), fc.json(), changed, swapped), text => {
		const decoded = decodeReport(text);
		if (decoded.isOk()) {
			const {gate, gossip, sequence, version, node} = decoded.value;
			assert.ok(isReachableAddress(gate) && isReachableAddress(gossip) && node !== '');
			assert.ok(Number.isSafeInteger(sequence) && Number.isSafeInteger(version));
		}
	}), {seed, numRuns: 2000});
});

// Guards against a restarted node that cannot be told of a departure, and against a node that refuses the reports of an earlier program.
test('departures are decoded as encoded, and a report without them has none', () => {
	const report = createSampleReport({departures: [{node: toNodeId('n1'), lifetime: {id: toBackendServerId('i-1'), startedAt: 0}}]});
	assert.deepEqual(decodeReport(encodeReport(report))._unsafeUnwrap(), report);
	const withoutDepartures = (JSON.parse(encodeReport(report)) as unknown[]).slice(0, 14);
	assert.deepEqual(decodeReport(JSON.stringify(withoutDepartures))._unsafeUnwrap(), createSampleReport());
	assert.match(decodeReport(JSON.stringify([...withoutDepartures, [['n1', 'i-1', -1]]]))._unsafeUnwrapErr(), /departures\.0\.startedAt/);
});
