/**
 * Counts the requests of one workspace that run in a window, in sum over all nodes,
 * under faults. Nodes decide by the ledger, the stock and the lending of real nodes;
 * messages are delayed, lost and delivered late, and each node has a clock of its own.
 *
 * @module
 */
import {toNodeId, type NodeId} from '../../src/lib/common/ids.js';
import {type PlannedAsk, quotaTickMs} from '../../src/lib/quotas/quota-client.js';
import {createQuotaCore, type QuotaCore} from '../../src/lib/quotas/quota-core.js';
import {
	decodeQuotaAnswer, decodeQuotaAsk, encodeQuotaAnswer, encodeQuotaAsk,
} from '../../src/lib/quotas/quota-messages.js';
import {type QuotaPeer} from '../../src/lib/quotas/quota-nodes.js';
import {
	computeQuotaPlan, type QuotaLimit, type QuotaPlan, type QuotaTolerance,
} from '../../src/lib/quotas/quota-plan.js';
import {createEventQueue} from './event-queue.js';

/** What happens to the mesh at a time, in milliseconds. */
export type QuotaFault =
	/** Nodes reach only those of their own side; `undefined` heals the partition. */
	| {readonly type: 'cut'; readonly at: number; readonly isOnSecondSide: ((node: number) => boolean) | undefined}
	| {readonly type: 'freeze'; readonly at: number; readonly nodes: readonly number[]; readonly forMs: number}
	/** Processes end and start again after a while. `isListed`: the store tells the new ones how many nodes there are. */
	| {readonly type: 'restart'; readonly at: number; readonly nodes: readonly number[]; readonly downMs: number; readonly isListed: boolean}
	/** Share of the messages that are lost, and that are delivered up to three seconds late. */
	| {readonly type: 'loss'; readonly at: number; readonly lost: number; readonly late: number}
	/** The limit changes, at each node up to a second later. */
	| {readonly type: 'limit'; readonly at: number; readonly limit: QuotaLimit}
	/** All nodes use all tokens that they can get, for a while. */
	| {readonly type: 'rush'; readonly at: number; readonly forMs: number}
	/** Requests per second, and the share of them that comes at the first fifth of the nodes. */
	| {readonly type: 'demand'; readonly at: number; readonly perSecond: number; readonly unevenShare: number};

export type QuotaModel = {
	readonly nodes: number;
	readonly tolerance: QuotaTolerance;
	readonly limit: QuotaLimit;
	readonly demandPerSecond: number;
	/** Share of the requests that comes at the first fifth of the nodes. */
	readonly unevenShare: number;
	/** Whether entries ask for all tokens that they can get, and use them only in a rush: the worst that entries could do. */
	readonly isHoarding?: boolean;
	readonly faults: readonly QuotaFault[];
	readonly durationMs: number;
	readonly random: () => number;
};

export type QuotaModelOutcome = {
	/** Times at which requests ran, in ascending order. */
	readonly ranAt: readonly number[];
	readonly requests: number;
	/** Requests that found a token without waiting, as a share of those that ran. */
	readonly immediateShare: number;
	/** Messages between nodes per second, with answers. */
	readonly messagesPerSecond: number;
	readonly unknown: number;
};

const workspace = 'w';

/** Time from the first start of the nodes until the first requests: all nodes have lent their parts then. */
export const quotaModelWarmUpMs = 4000;

const heartbeatMs = 400;
const silenceMs = 1050;
const maxWaitMs = 60;
const askTimeoutMs = 500;
const maxLateMs = 3000;
const rushStepMs = 10;
const hoardedTokens = 10_000;

type ModelNode = {
	readonly id: NodeId;
	core: QuotaCore;
	/** Changes with each restart, so that events of an earlier run are void. */
	run: number;
	/** Its clock is this much ahead. */
	clockMs: number;
	isDown: boolean;
	frozenUntil: number;
	readonly heard: Map<number, number>;
	/** Until when requests wait. */
	waiting: number[];
	limit: QuotaLimit;
};

/**
 * Runs the model.
 *
 * @param model - The mesh, the load and the faults.
 * @returns What ran.
 */
export function runQuotaModel(model: QuotaModel): QuotaModelOutcome {
	const {nodes: count, tolerance, durationMs, random} = model;
	const events = createEventQueue();
	const scheduleEvent = (at: number, run: () => void): void => {
		events.schedule(at - events.getNow(), run);
	};

	const ranAt: number[] = [];
	let {demandPerSecond, unevenShare} = model;
	let isOnSecondSide: ((node: number) => boolean) | undefined;
	let loss = {lost: 0, late: 0};
	let requests = 0;
	let immediate = 0;
	let messages = 0;
	let unknown = 0;

	const countWaiting = ({waiting}: Pick<ModelNode, 'waiting'>): number => model.isHoarding ? hoardedTokens : waiting.length;
	const createCore = (node: Pick<ModelNode, 'id' | 'run' | 'clockMs'>, getWaiting: () => number, now: number): QuotaCore =>
		createQuotaCore(node.id, `${node.id}-${node.run}`, now + node.clockMs, getWaiting);
	const nodes: ModelNode[] = Array.from({length: count}, (_, index) => {
		const base = {id: toNodeId(`n${index}`), run: 0, clockMs: Math.floor(random() * 1_000_000)};
		const node: ModelNode = {
			...base, core: createCore(base, () => countWaiting(node), 0), isDown: false, frozenUntil: 0, heard: new Map(), waiting: [], limit: model.limit,
		};
		return node;
	});
	const indexes = new Map(nodes.map(({id}, index) => [id, index]));
	const areConnected = (left: number, right: number): boolean => isOnSecondSide === undefined || isOnSecondSide(left) === isOnSecondSide(right);
	const readClock = (node: ModelNode): number => events.getNow() + node.clockMs;

	/** Calls a function of a node at a time, after a freeze if it stands still; not at all if its process has ended. */
	const scheduleAt = (node: ModelNode, at: number, handle: () => void): void => {
		const {run} = node;
		scheduleEvent(at, () => {
			if (node.isDown || node.run !== run) {
				return;
			}

			if (events.getNow() < node.frozenUntil) {
				scheduleAt(node, node.frozenUntil, handle);
			} else {
				handle();
			}
		});
	};

	const sendMessage = (from: number, to: number, handle: () => void): void => {
		messages++;
		if (!areConnected(from, to) || random() < loss.lost) {
			return;
		}

		const delayMs = 2 + (random() * 8) + (random() < loss.late ? random() * maxLateMs : 0);
		scheduleEvent(events.getNow() + delayMs, () => {
			const node = nodes[to]!;
			if (!node.isDown) {
				scheduleAt(node, events.getNow(), handle);
			}
		});
	};

	const applyLimit = (node: ModelNode): void => {
		const plans = new Map<string, QuotaPlan>([[workspace, computeQuotaPlan(tolerance, node.limit)]]);
		node.core.applyPlans(plans, readClock(node));
	};

	const serveWaiting = (node: ModelNode): void => {
		const now = events.getNow();
		const stock = node.core.client.getStock(workspace)!;
		unknown += node.waiting.filter(deadline => deadline < now).length;
		node.waiting = node.waiting.filter(deadline => deadline >= now);
		while (node.waiting.length > 0 && stock.take(readClock(node)) !== undefined) {
			node.waiting.shift();
			ranAt.push(now);
		}

		if (stock.getDryMs(readClock(node)) > 0) {
			node.waiting = [];
		}
	};

	const finishAsk = (node: ModelNode, planned: PlannedAsk, head: unknown): void => {
		const answer = head === undefined ? undefined : decodeQuotaAnswer(head, planned.ask);
		if (answer === undefined) {
			node.core.client.handleFailure(planned, readClock(node));
			chooseCoordinators(node);
		} else {
			node.core.client.handleAnswer(planned, answer, readClock(node));
			serveWaiting(node);
		}

		if (node.waiting.length > 0) {
			sendAsk(node, node.core.client.planFor(workspace, readClock(node)));
		}
	};

	const sendAsk = (node: ModelNode, planned: PlannedAsk | undefined): void => {
		if (planned === undefined) {
			return;
		}

		const head = structuredClone(encodeQuotaAsk(planned.ask)) as unknown;
		if (planned.to === node.id) {
			const answer = encodeQuotaAnswer(node.core.answer(decodeQuotaAsk(head), readClock(node)));
			scheduleAt(node, events.getNow(), () => {
				finishAsk(node, planned, answer);
			});
			return;
		}

		const from = indexes.get(node.id)!;
		const to = indexes.get(planned.to)!;
		let isFinished = false;
		const finish = (answer: unknown): void => {
			if (!isFinished) {
				isFinished = true;
				finishAsk(node, planned, answer);
			}
		};

		scheduleAt(node, events.getNow() + askTimeoutMs, () => {
			finish(undefined);
		});
		const {run} = node;
		sendMessage(from, to, () => {
			const answer = encodeQuotaAnswer(nodes[to]!.core.answer(decodeQuotaAsk(head), readClock(nodes[to]!)));
			sendMessage(to, from, () => {
				if (node.run === run) {
					finish(answer);
				}
			});
		});
	};

	const chooseCoordinators = (node: ModelNode): void => {
		const now = events.getNow();
		const peers: QuotaPeer[] = [];
		const reachable: NodeId[] = [node.id];
		for (const [index, heardAt] of node.heard) {
			const {id} = nodes[index]!;
			peers.push({node: id, heardAt: heardAt + node.clockMs, isLeaving: false});
			if (now - heardAt <= silenceMs) {
				reachable.push(id);
			}
		}

		node.core.nodes.updatePeers(peers, readClock(node));
		node.core.client.chooseCoordinators(reachable, readClock(node));
	};

	const startTicks = (node: ModelNode): void => {
		const index = indexes.get(node.id)!;
		const tick = (round: number): void => {
			if (round % (heartbeatMs / quotaTickMs) === 0) {
				for (const [other, peer] of nodes.entries()) {
					if (other !== index && areConnected(index, other) && !peer.isDown && events.getNow() >= peer.frozenUntil) {
						peer.heard.set(index, events.getNow());
					}
				}

				chooseCoordinators(node);
			}

			for (const planned of node.core.client.planDue(readClock(node))) {
				sendAsk(node, planned);
			}

			scheduleAt(node, events.getNow() + quotaTickMs, () => {
				tick(round + 1);
			});
		};

		scheduleAt(node, events.getNow() + (random() * quotaTickMs), () => {
			tick(Math.floor(random() * 4));
		});
	};

	const start = (node: ModelNode, isListed: boolean): void => {
		node.isDown = false;
		node.clockMs = Math.floor(random() * 1_000_000) - events.getNow();
		node.waiting = [];
		node.heard.clear();
		node.core = createCore(node, () => countWaiting(node), events.getNow());
		applyLimit(node);
		if (isListed) {
			node.core.nodes.noteListed(count, readClock(node));
		}

		startTicks(node);
	};

	const handleRequest = (node: ModelNode): void => {
		requests++;
		const stock = node.core.client.getStock(workspace)!;
		stock.recordDemand(readClock(node));
		if (stock.take(readClock(node)) !== undefined) {
			immediate++;
			ranAt.push(events.getNow());
			return;
		}

		if (stock.getDryMs(readClock(node)) > 0) {
			return;
		}

		node.waiting.push(events.getNow() + maxWaitMs);
		sendAsk(node, node.core.client.planFor(workspace, readClock(node)));
	};

	const scheduleNextRequest = (): void => {
		const gapMs = demandPerSecond === 0 ? 10 : -Math.log(1 - random()) * 1000 / demandPerSecond;
		scheduleEvent(events.getNow() + gapMs, () => {
			scheduleNextRequest();
			const some = random() < unevenShare ? Math.ceil(count / 5) : count;
			const node = nodes[Math.floor(random() * some)]!;
			if (demandPerSecond > 0 && !model.isHoarding && !node.isDown && events.getNow() >= node.frozenUntil) {
				handleRequest(node);
			}
		});
	};

	const applyFault = (fault: QuotaFault): void => {
		switch (fault.type) {
			case 'cut': {
				({isOnSecondSide} = fault);
				break;
			}

			case 'freeze': {
				for (const index of fault.nodes) {
					const node = nodes[index % count]!;
					node.frozenUntil = Math.max(node.frozenUntil, events.getNow() + fault.forMs);
				}

				break;
			}

			case 'restart': {
				for (const index of new Set(fault.nodes.map(number => number % count))) {
					const node = nodes[index]!;
					if (node.isDown) {
						continue;
					}

					node.isDown = true;
					node.run++;
					node.frozenUntil = 0;
					scheduleEvent(events.getNow() + fault.downMs, () => {
						start(node, fault.isListed);
					});
				}

				break;
			}

			case 'loss': {
				loss = fault;
				break;
			}

			case 'limit': {
				for (const node of nodes) {
					scheduleEvent(events.getNow() + (random() * 1000), () => {
						node.limit = fault.limit;
						if (!node.isDown) {
							scheduleAt(node, events.getNow(), () => {
								applyLimit(node);
							});
						}
					});
				}

				break;
			}

			case 'rush': {
				const until = events.getNow() + fault.forMs;
				const takeAll = (): void => {
					for (const node of nodes) {
						while (!node.isDown && events.getNow() >= node.frozenUntil && node.core.client.getStock(workspace)!.take(readClock(node)) !== undefined) {
							ranAt.push(events.getNow());
						}
					}

					if (events.getNow() < until) {
						scheduleEvent(events.getNow() + rushStepMs, takeAll);
					}
				};

				takeAll();
				break;
			}

			case 'demand': {
				demandPerSecond = fault.perSecond;
				unevenShare = fault.unevenShare;
				break;
			}
		}
	};

	for (const node of nodes) {
		start(node, true);
	}

	for (const fault of model.faults) {
		scheduleEvent(quotaModelWarmUpMs + fault.at, () => {
			applyFault(fault);
		});
	}

	scheduleEvent(quotaModelWarmUpMs, scheduleNextRequest);
	events.runUntil(quotaModelWarmUpMs + durationMs);
	return {
		ranAt, requests, unknown, immediateShare: immediate / Math.max(1, ranAt.length), messagesPerSecond: messages * 1000 / (quotaModelWarmUpMs + durationMs),
	};
}

/** Returns the most requests that ran in any window. */
export function countMostInWindow(ranAt: readonly number[], windowMs: number): number {
	let most = 0;
	let first = 0;
	for (const [index, at] of ranAt.entries()) {
		while (at - ranAt[first]! >= windowMs) {
			first++;
		}

		most = Math.max(most, index - first + 1);
	}

	return most;
}
