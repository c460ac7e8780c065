import assert from 'node:assert/strict';
import test from 'node:test';
import fc from 'fast-check';
import {FieldError} from './field-error.js';
import {parseShallowJson} from './parse-shallow-json.js';

const createNested = (depth: number, open = '[', close = ']'): string => `${open.repeat(depth)}${close.repeat(depth)}`;

// Guards against a node that stands still for hundreds of milliseconds each time it reads an entry of another writer.
test('text that is nested too deeply is refused without being parsed', context => {
	const parse = context.mock.method(JSON, 'parse');
	for (const text of [createNested(33), createNested(500_000), '['.repeat(900_000), '{"a":'.repeat(200_000), `["\\"",${createNested(500_000)}]`, `["[",${createNested(400_000, '[{"a":', '}]')}]`]) {
		assert.throws(() => parseShallowJson(text, 'value'), FieldError);
	}

	assert.equal(parse.mock.callCount(), 0);
});

test('brackets in strings do not count, and neither do lists side by side', () => {
	for (const text of [createNested(32), JSON.stringify(['['.repeat(100), '\\', '"[[[', '{'.repeat(100)]), `[${Array.from({length: 100}, () => createNested(20)).join(',')}]`]) {
		assert.deepEqual(parseShallowJson(text, 'value'), JSON.parse(text));
	}
});

test('property: text with little nesting is parsed as by JSON.parse, or refused like there', () => {
	fc.assert(fc.property(fc.oneof(fc.json({maxDepth: 8}), fc.string()), text => {
		let expected: unknown;
		try {
			expected = JSON.parse(text);
		} catch {
			assert.throws(() => parseShallowJson(text, 'value'));
			return;
		}

		assert.deepEqual(parseShallowJson(text, 'value'), expected);
	}), {seed: 75, numRuns: 500});
});
