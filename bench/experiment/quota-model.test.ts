import assert from 'node:assert/strict';
import test from 'node:test';
import fc from 'fast-check';
import {type QuotaTolerance} from '../../src/lib/quotas/quota-plan.js';
import {createModelRandom} from './limit-model.js';
import {
	countMostInWindow, quotaModelWarmUpMs, runQuotaModel, type QuotaFault,
} from './quota-model.js';

const usualTolerance = {windowMs: 5000, overage: 0.1, slack: 20};

/** Small windows and tolerances leave little room in which a fault of the design would not be noticed. */
const toleranceArbitrary = fc.constantFrom<QuotaTolerance>(usualTolerance, {windowMs: 5000, overage: 0.02, slack: 2}, {windowMs: 2000, overage: 0, slack: 0}, {windowMs: 1000, overage: 0, slack: 0});

type Limit = {readonly ratePerSecond: number; readonly burst: number};

const limitArbitrary = fc.record({ratePerSecond: fc.constantFrom(0.5, 3, 20, 150), burst: fc.constantFrom(0, 1, 2, 5, 12, 100)});

const durationMs = 14_000;
const at = fc.integer({min: 0, max: durationMs});
const nodeList = fc.array(fc.nat(11), {minLength: 1, maxLength: 4});

const fault: fc.Arbitrary<QuotaFault> = fc.oneof(
	fc.record({type: fc.constant('cut' as const), at, isOnSecondSide: fc.option(fc.nat(4095).map(sides => (node: number) => Math.floor(sides / (2 ** node)) % 2 === 1), {nil: undefined})}),
	fc.record({
		type: fc.constant('freeze' as const), at, nodes: nodeList, forMs: fc.integer({min: 50, max: 4000}),
	}),
	fc.record({
		type: fc.constant('restart' as const), at, nodes: nodeList, downMs: fc.integer({min: 0, max: 1500}), isListed: fc.boolean(),
	}),
	// Half of the nodes at once.
	fc.record({
		type: fc.constant('restart' as const), at, nodes: fc.constant([0, 2, 4, 6, 8, 10]), downMs: fc.integer({min: 0, max: 1500}), isListed: fc.boolean(),
	}),
	fc.record({
		type: fc.constant('loss' as const), at, lost: fc.constantFrom(0, 0.1, 0.5), late: fc.constantFrom(0, 0.1, 0.5),
	}),
	fc.record({type: fc.constant('rush' as const), at, forMs: fc.integer({min: 0, max: 5000})}),
	fc.record({type: fc.constant('limit' as const), at, limit: limitArbitrary}),
	fc.record({
		type: fc.constant('demand' as const), at, perSecond: fc.constantFrom(0, 10, 100, 600), unevenShare: fc.constantFrom(0, 2 / 3, 1),
	}),
);

const computeAllowed = (tolerance: QuotaTolerance, {ratePerSecond, burst}: Limit): number => (((ratePerSecond * tolerance.windowMs / 1000) + burst) * (1 + tolerance.overage)) + tolerance.slack;

/** Each node gets a changed limit within a second, and a lower one becomes binding a window later. */
const spreadMs = 1000;

/** Finds a window in which more requests ran than the highest limit that was binding in it allows. */
function findExcess(tolerance: QuotaTolerance, ranAt: readonly number[], first: Limit, faults: readonly QuotaFault[]): string | undefined {
	const changes = faults.flatMap(one => one.type === 'limit' ? [{at: quotaModelWarmUpMs + one.at, limit: one.limit}] : []).toSorted((left, right) => left.at - right.at);
	const limits = [{at: 0, limit: first}, ...changes].map(({limit, at: from}, index, all) => ({limit, from, until: (all[index + 1]?.at ?? Number.POSITIVE_INFINITY) + spreadMs + tolerance.windowMs}));
	let end = 0;
	for (const [index, startedAt] of ranAt.entries()) {
		while (end < ranAt.length && ranAt[end]! - startedAt < tolerance.windowMs) {
			end++;
		}

		const allowed = Math.max(...limits.filter(({from, until}) => until > startedAt && from < startedAt + tolerance.windowMs).map(({limit}) => computeAllowed(tolerance, limit)));
		if (end - index > allowed) {
			return `${end - index} of ${allowed} ran from ${startedAt}`;
		}
	}

	return undefined;
}

test('property: no window has more requests than the quota allows, whatever partitions, freezes, restarts, lost and late messages and changes come together', () => {
	fc.assert(fc.property(
		toleranceArbitrary,
		fc.integer({min: 1, max: 12}),
		limitArbitrary,
		fc.constantFrom(20, 100, 600),
		fc.constantFrom(0, 2 / 3, 1),
		fc.boolean(),
		fc.array(fault, {maxLength: 12}),
		fc.nat(1_000_000),
		// eslint-disable-next-line max-params -- one parameter for each generated value
		(tolerance, nodes, limit, demandPerSecond, unevenShare, isHoarding, faults, seed) => {
			const {ranAt} = runQuotaModel({
				nodes, tolerance, limit, demandPerSecond, unevenShare, isHoarding, faults: [...faults, {type: 'rush', at: 9000, forMs: 5000}], durationMs, random: createModelRandom(seed),
			});
			assert.equal(findExcess(tolerance, ranAt, limit, faults), undefined);
		},
	), {numRuns: 400, seed: 20_261_203});
});

for (const nodes of [3, 13, 75]) {
	for (const unevenShare of [0, 2 / 3]) {
		test(`without trouble at least 0.95 of a quota is used, with ${nodes} nodes and ${unevenShare.toFixed(2)} of the demand at a fifth of them`, () => {
			for (const limit of [{ratePerSecond: 3, burst: 0}, {ratePerSecond: 30, burst: 20}, {ratePerSecond: 300, burst: 100}]) {
				const {ranAt} = runQuotaModel({
					nodes, tolerance: usualTolerance, limit, demandPerSecond: limit.ratePerSecond * 2, unevenShare, faults: [], durationMs: 30_000, random: createModelRandom(7),
				});
				const used = ranAt.length / ((limit.ratePerSecond * 30) + limit.burst);
				assert.ok(used >= 0.95, `${used} of ${limit.ratePerSecond} a second`);
				assert.ok(countMostInWindow(ranAt, usualTolerance.windowMs) <= computeAllowed(usualTolerance, limit));
			}
		});
	}
}
