import assert from 'node:assert/strict';
import test from 'node:test';
import {shouldAdmitLate} from './stopping-admission.js';

// Guards against a stopping node that breaks off requests which it need not have taken, and against one that refuses calls which its server needs.
test('a stopping node takes requests that end before it does, and calls of its server', () => {
	assert.equal(shouldAdmitLate({isNestedCall: false, deadlineAt: 5000}, 5000), true);
	assert.equal(shouldAdmitLate({isNestedCall: false, deadlineAt: 5001}, 5000), false);
	assert.equal(shouldAdmitLate({isNestedCall: true, deadlineAt: 9000}, 5000), true);
});
