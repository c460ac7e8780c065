/**
 * Decides which asks an entry sends to which coordinators, and when. A part without
 * timers and connections: the caller passes the time, sends what is planned, and
 * hands back the answers.
 *
 * The load it answers: up to a few hundred workspaces, most of them far below their
 * quotas. At most one ask is on its way to a coordinator, and it covers all of its
 * workspaces, so the number of messages does not grow with the requests.
 *
 * @module
 */
import {type NodeId} from '../common/ids.js';
import {createGroupRanking, getQuotaGroup, quotaGroupCount} from './quota-group.js';
import {createQuotaLending} from './quota-lending.js';
import {
	maxWantCount, maxWantTokens, type QuotaAnswer, type QuotaAsk, type QuotaWant,
} from './quota-messages.js';
import {type QuotaNodes} from './quota-nodes.js';
import {type QuotaPlan} from './quota-plan.js';
import {createQuotaStock, type QuotaStock} from './quota-stock.js';

/** An ask to send. @internal */
export type PlannedAsk = {
	readonly to: NodeId;
	readonly ask: QuotaAsk;
	readonly sentAt: number;
};

/** @internal */
export type QuotaClient = {
	readonly applyPlans: (plans: ReadonlyMap<string, QuotaPlan>) => void;
	/** Chooses the coordinators among the nodes that can be reached, with this one. */
	readonly chooseCoordinators: (reachable: readonly NodeId[], now: number) => void;
	/** Returns the stock of a workspace; `undefined` if it has no quota. */
	readonly getStock: (workspace: string) => QuotaStock | undefined;
	/** Plans the ask for a workspace whose requests wait; `undefined` if one is on its way. */
	readonly planFor: (workspace: string, now: number) => PlannedAsk | undefined;
	/** Plans all asks that are due. Must be called every `quotaTickMs`. */
	readonly planDue: (now: number) => readonly PlannedAsk[];
	/** Takes over an answer; returns the workspaces that it was about. */
	readonly handleAnswer: (planned: PlannedAsk, answer: QuotaAnswer, now: number) => readonly string[];
	/** Records that an ask was not answered. Its coordinator is avoided for a while. */
	readonly handleFailure: (planned: PlannedAsk, now: number) => void;
};

/** How often due asks are planned, in milliseconds. @internal */
export const quotaTickMs = 100;

/** A loan is renewed this long after the last ask, in milliseconds: in time for a second try before it ends. */
const renewMs = 450;

/** How long a coordinator is avoided that did not answer, in milliseconds. Two ticks and a timeout pass at most before the others are tried. */
const avoidMs = 1000;

/** How long a coordinator is avoided that has just started, in milliseconds. */
const settlingMs = 300;

/** Pause after an answer without any grant or retry time, in milliseconds: the loans to that coordinator have yet to arrive. */
const emptyPauseMs = 40;

type CoordinatorState = {
	/** When the ask on its way was sent; `undefined` if there is none. */
	inFlightAt: number | undefined;
	askedAt: number;
	avoidUntil: number;
	pausedUntil: number;
};

/**
 * @param self - This node.
 * @param nodes - The count of the nodes.
 * @param startedAt - When this process started, in steady milliseconds.
 * @param countWaiting - Returns the number of requests of a workspace that wait for a token.
 * @returns A client without quotas.
 * @internal
 */
export function createQuotaClient(self: NodeId, nodes: QuotaNodes, startedAt: number, countWaiting: (workspace: string) => number): QuotaClient {
	const lending = createQuotaLending(startedAt);
	const ranking = createGroupRanking();
	const stocks = new Map<string, QuotaStock>();
	const workspacesByGroup: string[][] = Array.from({length: quotaGroupCount}, () => []);
	const chosen: Array<NodeId | undefined> = Array.from({length: quotaGroupCount}, () => undefined);
	/** Nodes that should become coordinators and have not answered yet. */
	let candidates = new Set<NodeId>();
	const states = new Map<NodeId, CoordinatorState>();

	const getState = (node: NodeId): CoordinatorState => {
		const state = states.get(node) ?? {
			inFlightAt: undefined, askedAt: Number.NEGATIVE_INFINITY, avoidUntil: 0, pausedUntil: 0,
		};
		states.set(node, state);
		return state;
	};

	const listGroups = (coordinator: NodeId): readonly number[] => chosen.flatMap((node, group) => node === coordinator ? [group] : []);

	/** Lists the groups that another coordinator gets, and whose loan may still be valid at this one. */
	const listReleased = (coordinator: NodeId, now: number): readonly number[] =>
		chosen.flatMap((node, group) => node !== undefined && node !== coordinator && lending.getLender(group, now) === coordinator ? [group] : []);

	const listWants = (groups: readonly number[], now: number): {readonly wants: readonly QuotaWant[]; readonly isUrgent: boolean} => {
		const wants: QuotaWant[] = [];
		let isUrgent = false;
		for (const workspace of groups.flatMap(group => workspacesByGroup[group]!)) {
			const stock = stocks.get(workspace)!;
			const waiting = stock.getDryMs(now) > 0 ? 0 : countWaiting(workspace);
			isUrgent ||= waiting > 0 || stock.countNeeded(now) > 0;
			const tokens = Math.min(maxWantTokens, waiting + stock.countUseful(now));
			if (tokens > 0) {
				wants.push({workspace, tokens});
			}
		}

		return {wants: wants.slice(0, maxWantCount), isUrgent};
	};

	const plan = (to: NodeId, now: number): PlannedAsk | undefined => {
		const state = getState(to);
		if (state.inFlightAt !== undefined || now < state.pausedUntil || now < state.avoidUntil) {
			return undefined;
		}

		const groups = listGroups(to);
		const released = listReleased(to, now);
		const {wants, isUrgent} = listWants(groups, now);
		const isSettled = nodes.isSettled(now);
		const isLoanDue = now - state.askedAt >= renewMs || (isSettled && groups.some(group => lending.isLendable(group, to, now)));
		if (!isUrgent && !isLoanDue && released.length === 0) {
			return undefined;
		}

		// A node that may know too few others would lend too large a part.
		const {stamp, lent} = isSettled ? lending.lend(to, groups, now) : {stamp: undefined, lent: []};
		state.inFlightAt = now;
		state.askedAt = now;
		return {
			to, sentAt: now, ask: {
				asker: self, nodes: nodes.count(now), known: nodes.countKnown(now), stamp, lent, released, wants,
			},
		};
	};

	return {
		applyPlans(plans) {
			for (const group of workspacesByGroup) {
				group.length = 0;
			}

			for (const [workspace, quotaPlan] of plans) {
				workspacesByGroup[getQuotaGroup(workspace)]!.push(workspace);
				const stock = stocks.get(workspace);
				if (stock === undefined) {
					stocks.set(workspace, createQuotaStock(quotaPlan));
				} else {
					stock.setPlan(quotaPlan);
				}
			}

			for (const workspace of stocks.keys()) {
				if (!plans.has(workspace)) {
					stocks.delete(workspace);
				}
			}
		},
		chooseCoordinators(reachable, now) {
			const usable = reachable.filter(node => (states.get(node)?.avoidUntil ?? 0) <= now);
			candidates = new Set();
			for (let group = 0; group < quotaGroupCount; group++) {
				const current = chosen[group];
				const best = workspacesByGroup[group]!.length === 0 ? undefined : ranking.chooseCoordinator(group, usable);
				if (best !== undefined && best !== current && current !== undefined && usable.includes(current) && !lending.hasStamp(best, now)) {
					// The group moves once the other node has answered, so that the loans are of use until then.
					candidates.add(best);
				} else {
					chosen[group] = best;
				}
			}

			for (const [node, {inFlightAt, avoidUntil}] of states) {
				if (inFlightAt === undefined && avoidUntil <= now && !chosen.includes(node) && !candidates.has(node) && listReleased(node, now).length === 0) {
					states.delete(node);
				}
			}
		},
		getStock: workspace => stocks.get(workspace),
		planFor(workspace, now) {
			const coordinator = chosen[getQuotaGroup(workspace)];
			return coordinator === undefined ? undefined : plan(coordinator, now);
		},
		planDue(now) {
			const targets = new Set([...chosen.filter(node => node !== undefined), ...candidates]);
			for (let group = 0; group < quotaGroupCount; group++) {
				const lender = lending.getLender(group, now);
				if (lender !== undefined) {
					targets.add(lender);
				}
			}

			return [...targets].map(node => plan(node, now)).filter(planned => planned !== undefined);
		},
		handleAnswer({to, ask, sentAt}, answer, now) {
			const state = getState(to);
			state.inFlightAt = undefined;
			nodes.noteKnown(to, answer.known, now);
			lending.noteReleased(to, ask.released, now);
			if (answer.isSettling) {
				state.avoidUntil = to === self ? 0 : now + settlingMs;
				state.pausedUntil = now + emptyPauseMs;
				return [];
			}

			lending.noteStamp(to, answer.stamp, now);
			for (const [index, {workspace, tokens}] of ask.wants.entries()) {
				const grant = answer.grants[index]!;
				stocks.get(workspace)?.add(tokens, grant, sentAt, now);
				if (grant.tokens < tokens && grant.retryMs === undefined) {
					state.pausedUntil = now + emptyPauseMs;
				}
			}

			return ask.wants.map(({workspace}) => workspace);
		},
		handleFailure({to}, now) {
			const state = getState(to);
			state.inFlightAt = undefined;
			state.avoidUntil = now + avoidMs;
		},
	};
}
