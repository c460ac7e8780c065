import assert from 'node:assert/strict';
import test from 'node:test';
import {findInvalidHeaderName} from './read-headers.js';

// Guards against a header name that the HTTP parser of some runtimes accepts and the receiving node refuses, which closes the connection between the nodes.
test('a header name with a character that names must not contain is found', () => {
	assert.equal(findInvalidHeaderName({host: 'mesh.example', 'x-a': 'b', 'x_b~1': 'c'}), undefined);
	for (const name of ['x a', ' x', 'x\t', 'x:', 'x(', '\u00E9', '']) {
		assert.equal(findInvalidHeaderName({host: 'mesh.example', [name]: 'b'}), name);
	}
});
