import assert from 'node:assert/strict';
import test from 'node:test';
import fc from 'fast-check';
import {isLeavingNotice, readServerLimit} from './server-notice.js';

const names = {serverLimit: 'server-limit', serverLeaving: 'server-leaving'};

const read = (value: string | readonly string[] | undefined): number | string | undefined => {
	const result = readServerLimit({'server-limit': value}, names);
	return result.isOk() ? result.value : result.error;
};

test('a limit is a decimal number of 0 or more', () => {
	assert.equal(read('23.4'), 23.4);
	assert.equal(read('0'), 0);
	assert.equal(read(' 1 '), 1);
	assert.equal(read('.5'), 0.5);
	assert.equal(read(undefined), undefined);
});

test('a limit that is negative or no number is an error that names what was found', () => {
	for (const value of ['', '-1', 'many', 'NaN', 'Infinity', '1e3', '0x10', '5, 6', '1 2', '9'.repeat(400)]) {
		assert.match(String(read(value)), /^server-limit: found ".*must be a decimal number/);
	}

	assert.match(String(read(['5', '6'])), /found \["5","6"], must be/);
});

test('no header value makes the reader throw or yield anything but a finite number', () => {
	fc.assert(fc.property(fc.string(), value => {
		const found = read(value);
		assert.ok(typeof found === 'string' || (Number.isFinite(found) && Number(found) >= 0));
	}));
});

test('a server is leaving if the header is 1', () => {
	assert.equal(isLeavingNotice({'server-leaving': '1'}, names), true);
	assert.equal(isLeavingNotice({'server-leaving': '0'}, names), false);
	assert.equal(isLeavingNotice({}, names), false);
});
