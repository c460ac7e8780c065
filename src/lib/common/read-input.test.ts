import assert from 'node:assert/strict';
import test from 'node:test';
import {FieldError} from './field-error.js';
import {
	readAddress, readAmount, readCount, readFlag, readList, readName, readString,
} from './read-input.js';

const notAddresses: readonly unknown[] = [
	'127.0.0.1:0', '127.0.0.1:65536', '127.0.0.1:', '127.0.0.1: 5', '127.0.0.1:1e3', '127.0.0.1:07', '127.0.0.1', 'localhost:1', ':1', '', 5, null,
];

const cases: ReadonlyArray<readonly [string, (value: unknown) => unknown, readonly unknown[], readonly unknown[]]> = [
	['a list', value => readList(value, 'x'), [[], [1]], [undefined, null, {}, 'a']],
	['a string', value => readString(value, 'x'), ['', 'a'], [undefined, null, 1, []]],
	['a name', value => readName(value, 'x'), ['a', '__proto__'], ['', 'a'.repeat(257), 1, null]],
	['a count', value => readCount(value, 'x'), [0, 7, Number.MAX_SAFE_INTEGER], [-1, 0.5, 1e300, 2 ** 53, '1', null, Number.NaN]],
	['an amount', value => readAmount(value, 'x', 100), [0, 0.5, 100], [-1, 101, 1e300, Number.NaN, '1', null, undefined]],
	['an address', value => readAddress(value, 'x'), ['127.0.0.1:1', '[::1]:65535'], notAddresses],
];

for (const [what, read, good, bad] of cases) {
	test(`${what} is read, and any other value is rejected with its place, the value found and the values allowed`, () => {
		for (const value of good) {
			assert.deepEqual(read(value), value);
		}

		for (const value of bad) {
			assert.throws(() => read(value), (error: unknown) => error instanceof FieldError && /^x: found .+, must be /.test(error.message), JSON.stringify(value));
		}
	});
}

test('a flag is 0 or 1; any other value is rejected', () => {
	assert.deepEqual([readFlag(0, 'x'), readFlag(1, 'x')], [false, true]);
	for (const value of [true, false, 2, '1', null, undefined]) {
		assert.throws(() => readFlag(value, 'x'), /x: found .+, must be 0 or 1/);
	}
});

test('the error for a long or deeply nested value is short', () => {
	const deep = JSON.parse(`${'['.repeat(50_000)}${']'.repeat(50_000)}`) as unknown;
	for (const value of [deep, 'x'.repeat(1_000_000), {a: deep}]) {
		assert.ok(new FieldError('x', value, 'a number').message.length < 200);
	}
});
