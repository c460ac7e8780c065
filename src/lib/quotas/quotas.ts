/**
 * Keeps the requests of each workspace within its quota, summed over all nodes:
 * connects the decisions of this node with requests, timers and other nodes.
 *
 * @module
 */
import {clampTimerMs, readSteadyMs} from '../common/clock.js';
import {type NodeId} from '../common/ids.js';
import {type Workspace} from '../workspaces/workspace.js';
import {type PlannedAsk, quotaTickMs} from './quota-client.js';
import {pickFastNodes, type CoordinatorCandidate} from './quota-group.js';
import {createQuotaCore} from './quota-core.js';
import {
	decodeQuotaAnswer, decodeQuotaAsk, encodeQuotaAnswer, encodeQuotaAsk,
} from './quota-messages.js';
import {type QuotaPeer} from './quota-nodes.js';
import {computeQuotaPlan, type QuotaPlan, type QuotaTolerance} from './quota-plan.js';
import {type QuotaStock} from './quota-stock.js';

/** Whether a request may run within the quota of its workspace. @internal */
export type QuotaDecision =
	| {
		readonly type: 'granted';
		/** Whether the request waited for the token. */
		readonly hasWaited: boolean;
		/** Returns the token, if the request has not run. */
		readonly giveBack: () => void;
	}
	/** The quota is used up. */
	| {readonly type: 'over'; readonly retryAfterMs: number}
	/** No coordinator has answered in time. */
	| {readonly type: 'unknown'; readonly retryAfterMs: number}
	/** The request has ended while it waited. */
	| {readonly type: 'cancelled'};

/** How a request fared, for metrics. @internal */
export type QuotaOutcome = 'granted' | 'waited' | 'over' | 'unknown' | 'returned';

/** Another node. @internal */
export type ReachablePeer = QuotaPeer & CoordinatorCandidate & {
	/** Whether messages can be sent to it now. */
	readonly isReachable: boolean;
};

/** @internal */
export type QuotaContext = {
	readonly tolerance: QuotaTolerance;
	readonly self: NodeId;
	/** Bandwidth of the link of this VM, in megabits per second. */
	readonly linkMbps: number;
	/** Random id of this run of the process. */
	readonly run: string;
	/** Lists the other nodes, also silent ones. */
	readonly listPeers: () => Iterable<ReachablePeer>;
	/** Sends an ask to another node; resolves with the head of the answer, or with `undefined` if none arrives in time. */
	readonly sendAsk: (to: NodeId, head: unknown) => Promise<unknown>;
	readonly random: () => number;
	readonly countOutcome: (workspace: string, outcome: QuotaOutcome) => void;
};

/** Ends the wait of a request; for example, its caller has left. @internal */
export type QuotaScope = {readonly subscribe: (handleEnd: () => void) => () => void};

/** @internal */
export type Quotas = {
	/** Decides on a request. Waits for at most `maxWaitMs` if a token has to be requested. */
	readonly acquire: (workspace: Workspace, maxWaitMs: number, scope: QuotaScope) => Promise<QuotaDecision>;
	/** Applies the quotas of a configuration. */
	readonly applyWorkspaces: (workspaces: readonly Workspace[]) => void;
	/** Records how many nodes the store lists, with this one. */
	readonly noteListed: (count: number) => void;
	/** Answers an ask of another node; throws if it is malformed. */
	readonly answerAsk: (head: unknown) => unknown;
	/** Returns how many asks this node has sent to others since its start. */
	readonly countAsks: () => number;
	readonly dispose: () => void;
};

/** How long a caller waits before it retries if no coordinator has answered, in milliseconds: by then another node is asked. */
const unknownRetryMs = 300;

/** Coordinators are chosen anew this often, in milliseconds: as often as heartbeats show which nodes can be reached. */
const choosePeriodMs = 400;

type Waiter = {
	readonly resolve: (decision: QuotaDecision) => void;
	readonly timer: NodeJS.Timeout;
	readonly unsubscribe: () => void;
};

const unlimited: QuotaDecision = {type: 'granted', hasWaited: false, giveBack: () => undefined};

/**
 * Creates the quotas of a node. Nothing is sent before a configuration with quotas is applied.
 *
 * @param context - The mesh and the tolerance.
 * @returns The quotas.
 * @internal
 */
export function createQuotas(context: QuotaContext): Quotas {
	const {self, tolerance, random, countOutcome} = context;
	const waiters = new Map<string, Set<Waiter>>();
	const core = createQuotaCore(self, context.run, readSteadyMs(), workspace => waiters.get(workspace)?.size ?? 0);
	const {client, nodes} = core;
	let ticker: NodeJS.Timeout | undefined;
	let chosenAt = Number.NEGATIVE_INFINITY;
	let asks = 0;

	const chooseCoordinators = (now: number): void => {
		chosenAt = now;
		const peers = [...context.listPeers()];
		nodes.updatePeers(peers, now);
		client.chooseCoordinators(pickFastNodes([{node: self, linkMbps: context.linkMbps}, ...peers.filter(({isReachable}) => isReachable)]), now);
	};

	const createGrant = (workspace: string, stock: QuotaStock, expiresAt: number, hasWaited: boolean): QuotaDecision => {
		let isReturned = false;
		countOutcome(workspace, hasWaited ? 'waited' : 'granted');
		return {
			type: 'granted',
			hasWaited,
			giveBack() {
				if (!isReturned) {
					isReturned = true;
					countOutcome(workspace, 'returned');
					stock.giveBack(expiresAt, readSteadyMs());
				}
			},
		};
	};

	const createRefusal = (workspace: string, stock: QuotaStock, now: number): QuotaDecision => {
		countOutcome(workspace, 'over');
		return {type: 'over', retryAfterMs: stock.recordRefusal(now, random)};
	};

	const finish = (workspace: string, waiter: Waiter, decision: QuotaDecision): void => {
		const waiting = waiters.get(workspace);
		waiting?.delete(waiter);
		if (waiting?.size === 0) {
			waiters.delete(workspace);
		}

		clearTimeout(waiter.timer);
		waiter.unsubscribe();
		waiter.resolve(decision);
	};

	/** Serves the requests that wait, in the order of their arrival. Refuses the others if the coordinator has no more tokens. */
	const serveWaiters = (workspace: string, now: number): void => {
		const stock = client.getStock(workspace);
		for (const waiter of waiters.get(workspace) ?? []) {
			const expiresAt = stock?.take(now);
			if (stock === undefined) {
				finish(workspace, waiter, unlimited);
			} else if (expiresAt !== undefined) {
				finish(workspace, waiter, createGrant(workspace, stock, expiresAt, true));
			} else if (stock.getDryMs(now) > 0) {
				finish(workspace, waiter, createRefusal(workspace, stock, now));
			}
		}
	};

	/** Plans and sends the ask for requests that have come to wait meanwhile. */
	const askForWaiting = (now: number): void => {
		for (const workspace of waiters.keys()) {
			const planned = client.planFor(workspace, now);
			if (planned !== undefined) {
				void send(planned);
			}
		}
	};

	const handleAnswer = (planned: PlannedAsk, head: unknown): void => {
		const now = readSteadyMs();
		const answer = head === undefined ? undefined : decodeQuotaAnswer(head, planned.ask);
		if (answer === undefined) {
			client.handleFailure(planned, now);
			chooseCoordinators(now);
		} else {
			for (const workspace of client.handleAnswer(planned, answer, now)) {
				serveWaiters(workspace, now);
			}
		}

		askForWaiting(now);
	};

	const send = async (planned: PlannedAsk): Promise<void> => {
		if (planned.to === self) {
			// Not in the same turn, since answers may lead to further asks.
			await Promise.resolve();
			handleAnswer(planned, encodeQuotaAnswer(core.answer(planned.ask, readSteadyMs())));
			return;
		}

		asks++;
		handleAnswer(planned, await context.sendAsk(planned.to, encodeQuotaAsk(planned.ask)));
	};

	const tick = (): void => {
		const now = readSteadyMs();
		if (now - chosenAt >= choosePeriodMs) {
			chooseCoordinators(now);
		}

		for (const planned of client.planDue(now)) {
			void send(planned);
		}
	};

	const waitForToken = async (workspace: string, maxWaitMs: number, scope: QuotaScope): Promise<QuotaDecision> => new Promise(resolve => {
		let isEnded = false;
		const waiter: Waiter = {
			resolve,
			timer: setTimeout(() => {
				countOutcome(workspace, 'unknown');
				finish(workspace, waiter, {type: 'unknown', retryAfterMs: unknownRetryMs * (1 + random())});
			}, clampTimerMs(maxWaitMs)),
			unsubscribe: scope.subscribe(() => {
				isEnded = true;
				// A scope that has ended calls back at once, before the waiter exists.
				queueMicrotask(() => {
					finish(workspace, waiter, {type: 'cancelled'});
				});
			}),
		};
		if (isEnded) {
			return;
		}

		const waiting = waiters.get(workspace) ?? new Set();
		waiting.add(waiter);
		waiters.set(workspace, waiting);
		const planned = client.planFor(workspace, readSteadyMs());
		if (planned !== undefined) {
			void send(planned);
		}
	});

	return {
		async acquire({name}, maxWaitMs, scope) {
			const stock = client.getStock(name);
			if (stock === undefined) {
				return unlimited;
			}

			const now = readSteadyMs();
			stock.recordDemand(now);
			const expiresAt = stock.take(now);
			if (expiresAt !== undefined) {
				return createGrant(name, stock, expiresAt, false);
			}

			return stock.getDryMs(now) > 0 ? createRefusal(name, stock, now) : waitForToken(name, maxWaitMs, scope);
		},
		applyWorkspaces(workspaces) {
			const plans = new Map<string, QuotaPlan>();
			for (const {name, ratePerSecond, burst} of workspaces) {
				if (ratePerSecond !== undefined && ratePerSecond > 0) {
					plans.set(name, computeQuotaPlan(tolerance, {ratePerSecond, burst}));
				}
			}

			const now = readSteadyMs();
			core.applyPlans(plans, now);
			if (plans.size === 0) {
				clearInterval(ticker);
				ticker = undefined;
				return;
			}

			chooseCoordinators(now);
			ticker ??= setInterval(tick, quotaTickMs);
		},
		noteListed(count) {
			nodes.noteListed(count, readSteadyMs());
		},
		answerAsk: head => encodeQuotaAnswer(core.answer(decodeQuotaAsk(head), readSteadyMs())),
		countAsks: () => asks,
		dispose() {
			clearInterval(ticker);
			for (const [workspace, waiting] of waiters) {
				for (const waiter of waiting) {
					finish(workspace, waiter, {type: 'unknown', retryAfterMs: unknownRetryMs});
				}
			}
		},
	};
}
