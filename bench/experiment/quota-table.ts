/**
 * Runs the model of quotas, and two alternatives, and prints what ran beside what is
 * allowed.
 *
 * @module
 */
import process from 'node:process';
import {defaultQuotaTolerance, type QuotaLimit} from '../../src/lib/quotas/quota-plan.js';
import {createModelRandom} from './limit-model.js';
import {runQuotaAlternative, type QuotaAlternative} from './quota-alternatives.js';
import {countMostInWindow, runQuotaModel, type QuotaFault} from './quota-model.js';

export type QuotaTableOptions = {
	readonly sizes: readonly number[];
	readonly seconds: number;
};

/** What else happens. */
export type QuotaTrouble =
	| 'none'
	/** Two thirds of the requests come at a fifth of the nodes. */
	| 'uneven'
	/** The nodes reach only those of their half of the mesh for most of the time. */
	| 'cut'
	/** A tenth of the nodes restart every two seconds; each is down for half a second. */
	| 'restarts'
	/** A tenth of the nodes stand still for two seconds, every three seconds. */
	| 'freezes';

export const quotaTroubles: readonly QuotaTrouble[] = ['none', 'uneven', 'cut', 'restarts', 'freezes'];

/** How the quota is kept. */
export type QuotaDesign = 'lent' | QuotaAlternative;

export const quotaDesigns: readonly QuotaDesign[] = ['lent', 'even-shares', 'reported-demand'];

const limits: readonly QuotaLimit[] = [{ratePerSecond: 3, burst: 5}, {ratePerSecond: 30, burst: 20}, {ratePerSecond: 300, burst: 100}];

/** Twice as many requests as the quota. */
const demandFactor = 2;

const cutAt = 3000;

/** Lists every so many nodes, beginning at one that differs by round. */
const listTenth = (nodes: number, round: number): readonly number[] =>
	Array.from({length: Math.ceil(nodes / 10)}, (_, index) => ((index * 10) + (round * 3)) % nodes);

/** Plans the faults of a trouble. */
export function planFaults(trouble: QuotaTrouble, nodes: number, durationMs: number): readonly QuotaFault[] {
	const listRounds = (periodMs: number): readonly number[] => Array.from({length: Math.floor(durationMs / periodMs)}, (_, round) => round);
	switch (trouble) {
		case 'none':
		case 'uneven': {
			return [];
		}

		case 'cut': {
			return [{type: 'cut', at: cutAt, isOnSecondSide: node => node % 2 === 1}];
		}

		case 'restarts': {
			return listRounds(2000).map(round => ({
				type: 'restart', at: round * 2000, nodes: listTenth(nodes, round), downMs: 500, isListed: true,
			}));
		}

		case 'freezes': {
			return listRounds(3000).map(round => ({
				type: 'freeze', at: round * 3000, nodes: listTenth(nodes, round), forMs: 2000,
			}));
		}
	}
}

export type QuotaRow = {
	readonly most: number;
	readonly allowed: number;
	/** Share of what the quota allows that ran. */
	readonly used: number;
	readonly messagesPerSecond: number;
	readonly immediateShare: number;
};

/** Runs one row of the table. */
export function runQuotaRow(design: QuotaDesign, trouble: QuotaTrouble, nodes: number, limit: QuotaLimit, durationMs: number): QuotaRow {
	const {windowMs, overage, slack} = defaultQuotaTolerance;
	const model = {
		nodes, tolerance: defaultQuotaTolerance, limit, demandPerSecond: limit.ratePerSecond * demandFactor, unevenShare: trouble === 'uneven' ? 2 / 3 : 0,
		faults: planFaults(trouble, nodes, durationMs), durationMs, random: createModelRandom(nodes),
	};
	const {ranAt, messagesPerSecond, immediateShare} = design === 'lent' ? runQuotaModel(model) : runQuotaAlternative(design, model);
	const quota = (limit.ratePerSecond * durationMs / 1000) + limit.burst;
	return {
		most: countMostInWindow(ranAt, windowMs), allowed: (((limit.ratePerSecond * windowMs / 1000) + limit.burst) * (1 + overage)) + slack,
		used: ranAt.length / quota, messagesPerSecond, immediateShare,
	};
}

/** Prints a row for each size, quota, trouble and design. */
export function runQuotaTable({sizes, seconds}: QuotaTableOptions): void {
	process.stdout.write('| nodes | quota | trouble | design | most in 5 s | allowed | used | without waiting | messages/s |\n| --- | --- | --- | --- | --- | --- | --- | --- | --- |\n');
	for (const nodes of sizes) {
		for (const limit of limits) {
			for (const trouble of quotaTroubles) {
				for (const design of quotaDesigns) {
					const {most, allowed, used, messagesPerSecond, immediateShare} = runQuotaRow(design, trouble, nodes, limit, seconds * 1000);
					const excess = most > allowed ? ' **over**' : '';
					process.stdout.write(`| ${nodes} | ${limit.ratePerSecond}/s + ${limit.burst} | ${trouble} | ${design} | ${most}${excess} | ${allowed.toFixed(0)} | ${used.toFixed(2)} | ${immediateShare.toFixed(2)} | ${messagesPerSecond.toFixed(0)} |\n`);
				}
			}
		}
	}
}
