import assert from 'node:assert/strict';
import test from 'node:test';
import fc from 'fast-check';
import {toNodeId, type NodeId} from '../common/ids.js';
import {findTreePosition, sortMembers} from './distribution-tree.js';

test('for any member list, an update from the relay reaches each member exactly once', () => {
	fc.assert(fc.property(fc.uniqueArray(fc.string({minLength: 1, maxLength: 8}), {minLength: 1, maxLength: 80}), fc.integer({min: 1, max: 9}), (names, fanOut) => {
		const order = sortMembers(names.map(name => toNodeId(name)));
		const reached: NodeId[] = [];
		const visit = (id: NodeId): void => {
			reached.push(id);
			const position = findTreePosition(order, id, fanOut);
			assert.ok(position.children.length <= fanOut);
			for (const child of position.children) {
				assert.equal(findTreePosition(order, child, fanOut).parent, id);
				visit(child);
			}
		};

		visit(order[0]!);
		assert.deepEqual(reached.toSorted(), order.toSorted());
	}));
});

test('the order does not depend on the order of the member list', () => {
	const names = ['a', 'b', 'c', 'd', 'e'].map(name => toNodeId(name));
	assert.deepEqual(sortMembers(names), sortMembers(names.toReversed()));
});

test('a node that is not among the members is its own relay', () => {
	assert.equal(findTreePosition([toNodeId('a')], toNodeId('b'), 8).relay, 'b');
});
