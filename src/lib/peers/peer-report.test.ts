import assert from 'node:assert/strict';
import test from 'node:test';
import fc from 'fast-check';
import {isReachableAddress} from '../common/address.js';
import {decodeReport, encodeReport} from './peer-report.js';
import {createSampleReport} from './sample-report.js';

/** The same verdict each run. */
const seed = 20_260;

const encodeChanged = (place: number, value: unknown): string => {
	const fields = JSON.parse(encodeReport(createSampleReport())) as unknown[];
	fields[place] = value;
	return JSON.stringify(fields);
};

test('a report survives its way over the wire', () => {
	assert.deepEqual(decodeReport(encodeReport(createSampleReport()))._unsafeUnwrap(), createSampleReport());
	const bare = createSampleReport({
		server: undefined, isLeaving: true, isProbe: true, duties: {
			linkMbps: 10, isFollowing: false, storeSeenMs: undefined, storeEra: 2,
		},
	});
	assert.deepEqual(decodeReport(encodeReport(bare))._unsafeUnwrap(), bare);
});

test('fields that a later program adds are passed over', () => {
	const later = JSON.stringify([...JSON.parse(encodeReport(createSampleReport())) as unknown[], {more: 1}]);
	assert.deepEqual(decodeReport(later)._unsafeUnwrap(), createSampleReport());
});

const places: ReadonlyArray<readonly [number, string, readonly unknown[]]> = [
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

for (const [place, name, values] of places) {
	test(`a report whose ${name} cannot be used is refused, with what was found and what is allowed`, () => {
		for (const value of values) {
			const decoded = decodeReport(encodeChanged(place, value));
			assert.ok(decoded.isErr(), JSON.stringify(value));
			assert.ok(decoded.error.startsWith(`${name}: found `) && decoded.error.includes(', must be '), decoded.error);
		}
	});
}

test('a report whose server cannot be read is refused whole', () => {
	const encoded = JSON.parse(encodeReport(createSampleReport())) as unknown[];
	const server = encoded[8] as unknown[];
	for (const [place, value] of [[0, ''], [0, 1], [3, 7], [3, 'ready'], [3, -1], [9, 1.5], [9, '5'], [9, undefined], [9, -1], [2, '4']] as const) {
		const changed = encoded.with(8, server.with(place, value));
		assert.match(decodeReport(JSON.stringify(changed))._unsafeUnwrapErr(), /^server: found/, `${place}: ${value}`);
	}
});

test('property: whatever arrives as a datagram is a report with addresses that can be used, or is refused', () => {
	const sound = encodeReport(createSampleReport());
	const changed = fc.tuple(fc.nat(sound.length), fc.nat(3), fc.string()).map(([place, length, text]) => sound.slice(0, place) + text + sound.slice(place + length));
	const swapped = fc.tuple(fc.nat(12), fc.jsonValue()).map(([place, value]) => encodeChanged(place, value));
	fc.assert(fc.property(fc.oneof(fc.string(), fc.json(), changed, swapped), text => {
		const decoded = decodeReport(text);
		if (decoded.isOk()) {
			const {gate, gossip, sequence, version, node} = decoded.value;
			assert.ok(isReachableAddress(gate) && isReachableAddress(gossip) && node !== '');
			assert.ok(Number.isSafeInteger(sequence) && Number.isSafeInteger(version));
		}
	}), {seed, numRuns: 2000});
});
