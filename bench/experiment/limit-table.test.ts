import assert from 'node:assert/strict';
import test from 'node:test';
import {type LimitTrouble} from './limit-model.js';
import {limitTroubles, runLimits} from './limit-table.js';

/** At a limit of 1, each restart, one every three seconds, loses the token of up to a second; otherwise only the backoff of the entries leaves something unused. */
const getMinUsedShare = (trouble: LimitTrouble): number => trouble === 'gate-restarts' ? 0.5 : 0.6;

for (const trouble of limitTroubles) {
	test(`kept at the gate, a limit holds and is used, whatever the trouble: ${trouble}`, () => {
		for (const nodes of [13, 195]) {
			for (const limit of [1, 23.4]) {
				for (const {most, allowed, usedShare} of runLimits('gate', trouble, nodes, limit, 3)) {
					assert.ok(most <= allowed, `${most} of ${allowed} with ${nodes} nodes at a limit of ${limit}`);
					assert.ok(usedShare >= getMinUsedShare(trouble), `${usedShare} used with ${nodes} nodes at a limit of ${limit}`);
				}
			}
		}
	});
}
