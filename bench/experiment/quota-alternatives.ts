/**
 * Two simpler ways to keep a quota, for comparison: even shares, and shares that follow
 * the demand that nodes report in their heartbeats.
 *
 * @module
 */
import {createTokenBucket, takeToken, type TokenBucket} from '../../src/lib/common/token-bucket.js';
import {createEventQueue} from './event-queue.js';
import {
	quotaModelWarmUpMs, type QuotaFault, type QuotaModel, type QuotaModelOutcome,
} from './quota-model.js';

export type QuotaAlternative =
	/** Each node may use one part of as many as it has heard of lately. */
	| 'even-shares'
	/** Each node may use the part that its demand has in the demands that it has heard of lately. */
	| 'reported-demand';

const heartbeatMs = 400;

/** A node that was not heard for this long is left out. */
const silenceMs = 1050;

/** Time constant of the demand that nodes report. */
const demandDecayMs = 1000;

type ShareNode = {
	bucket: TokenBucket;
	demand: number;
	demandAt: number;
	share: number;
	isDown: boolean;
	frozenUntil: number;
	heard: Map<number, {readonly at: number; readonly demand: number}>;
};

/**
 * Runs a model with shares. Faults of messages and changes of limits and demand are left out.
 *
 * @param design - How shares are computed.
 * @param model - The mesh, the load and the faults.
 * @returns What ran. Heartbeats are sent anyway and are not counted as messages.
 */
export function runQuotaAlternative(design: QuotaAlternative, model: QuotaModel): QuotaModelOutcome {
	const {nodes: count, limit, random} = model;
	const events = createEventQueue();
	const ranAt: number[] = [];
	let requests = 0;
	let isOnSecondSide: ((node: number) => boolean) | undefined;
	const getLimits = (share: number) => ({perSecond: limit.ratePerSecond * share, burst: Math.max(1, limit.burst * share)});
	const create = (): Omit<ShareNode, 'isDown' | 'frozenUntil'> => ({
		// Empty, since an earlier run may have used its tokens.
		bucket: {...createTokenBucket(getLimits(0), events.getNow()), tokens: 0}, demand: 0, demandAt: events.getNow(), share: 0, heard: new Map(),
	});
	const nodes: ShareNode[] = Array.from({length: count}, () => ({...create(), isDown: false, frozenUntil: 0}));
	const isRunning = ({isDown, frozenUntil}: ShareNode): boolean => !isDown && events.getNow() >= frozenUntil;
	const estimateDemand = ({demand, demandAt}: ShareNode): number => demand * Math.exp((demandAt - events.getNow()) / demandDecayMs);

	const updateShare = (node: ShareNode): void => {
		let heardDemand = 0;
		let heardCount = 0;
		for (const {at, demand} of node.heard.values()) {
			const isRecent = events.getNow() - at <= silenceMs;
			heardDemand += isRecent ? demand : 0;
			heardCount += isRecent ? 1 : 0;
		}

		const own = estimateDemand(node);
		node.share = design === 'even-shares' ? 1 / (heardCount + 1) : (own === 0 ? 0 : own / (own + heardDemand));
	};

	const areConnected = (left: number, right: number): boolean => isOnSecondSide === undefined || isOnSecondSide(left) === isOnSecondSide(right);

	const sendHeartbeats = (index: number): void => {
		const node = nodes[index]!;
		if (isRunning(node)) {
			const demand = estimateDemand(node);
			for (const [other, peer] of nodes.entries()) {
				if (other !== index && isRunning(peer) && areConnected(index, other)) {
					peer.heard.set(index, {at: events.getNow(), demand});
				}
			}

			updateShare(node);
		}

		events.schedule(heartbeatMs, () => {
			sendHeartbeats(index);
		});
	};

	const scheduleNextRequest = (): void => {
		events.schedule(-Math.log(1 - random()) * 1000 / model.demandPerSecond, () => {
			scheduleNextRequest();
			const some = random() < model.unevenShare ? Math.ceil(count / 5) : count;
			const node = nodes[Math.floor(random() * some)]!;
			if (!isRunning(node)) {
				return;
			}

			requests++;
			node.demand = estimateDemand(node) + 1;
			node.demandAt = events.getNow();
			const {bucket, isTaken} = takeToken(node.bucket, getLimits(node.share), events.getNow());
			node.bucket = bucket;
			if (isTaken) {
				ranAt.push(events.getNow());
			}
		});
	};

	const applyFault = (fault: QuotaFault): void => {
		if (fault.type === 'cut') {
			({isOnSecondSide} = fault);
		}

		for (const index of fault.type === 'freeze' || fault.type === 'restart' ? fault.nodes : []) {
			const node = nodes[index]!;
			if (fault.type === 'freeze') {
				node.frozenUntil = events.getNow() + fault.forMs;
			} else if (fault.type === 'restart') {
				node.isDown = true;
				events.schedule(fault.downMs, () => {
					Object.assign(node, {...create(), isDown: false});
				});
			}
		}
	};

	for (const fault of model.faults) {
		events.schedule(quotaModelWarmUpMs + fault.at, () => {
			applyFault(fault);
		});
	}

	for (const index of nodes.keys()) {
		events.schedule(random() * heartbeatMs, () => {
			sendHeartbeats(index);
		});
	}

	events.schedule(quotaModelWarmUpMs, scheduleNextRequest);
	events.runUntil(quotaModelWarmUpMs + model.durationMs);
	return {
		ranAt, requests, unknown: 0, immediateShare: 1, messagesPerSecond: 0,
	};
}
