import assert from 'node:assert/strict';
import test from 'node:test';
import fc from 'fast-check';
import {readServerLoad, type ServerLoadReport} from './server-load.js';

type Value = string | readonly string[] | undefined;

const read = (value: Value): ServerLoadReport | string | undefined => {
	const result = readServerLoad({'server-load': value}, {serverLoad: 'server-load'});
	return result.isOk() ? result.value : result.error;
};

const readError = (value: Value): string => readServerLoad({'server-load': value}, {serverLoad: 'server-load'})._unsafeUnwrapErr();

test('a report has three figures, and a fourth for the slowness, where 100 is usual', () => {
	assert.deepEqual(read('5,0,6'), {
		running: 5, waiting: 0, slots: 6, slowness: undefined,
	});
	assert.deepEqual(read('5, 2 ,6, 250'), {
		running: 5, waiting: 2, slots: 6, slowness: 2.5,
	});
	assert.deepEqual(read('0,0,1,87.5'), {
		running: 0, waiting: 0, slots: 1, slowness: 0.875,
	});
	assert.equal(read(undefined), undefined);
});

// Guards against figures that would make a server look idle, infinitely fast or infinitely slow.
test('an absurd report is an error that names what was found', () => {
	for (const value of ['', '5', '5,0', '5,0,0', '5,0,6,', '5,0,6,0', '5,0,6,-100', '5,0,6,100,1', '5,0,6,1e3', '5,0,6,NaN', '5,0,6,Infinity', '5,0,6,99999', '-1,0,6', '5.5,0,6', '9999999,0,6', 'a,b,c', '5;0;6']) {
		assert.match(readError(value), /^server-load: found ".*must be running, waiting and slots/, value);
	}

	assert.match(readError(['5,0,6', '5,0,6']), /found \["5,0,6","5,0,6"], must be/);
});

test('no header value makes the reader throw or yield a figure that is not finite', () => {
	fc.assert(fc.property(fc.oneof(fc.string(), fc.array(fc.oneof(fc.integer(), fc.double()), {maxLength: 5}).map(String)), value => {
		const found = read(value);
		assert.ok(typeof found === 'string' || (found !== undefined && Number.isFinite(found.running + found.waiting) && found.slots > 0 && (found.slowness === undefined || (found.slowness >= 0.01 && found.slowness <= 100))));
	}));
});
