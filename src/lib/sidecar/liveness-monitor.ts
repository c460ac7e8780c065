/**
 * Monitors the liveness of the nodes that requests wait for: probes nodes that
 * have not sent anything for a while, notifies the requests of silent nodes, and
 * runs the liveness check of connections to other nodes.
 *
 * @module
 */
import {readSteadyMs} from '../common/clock.js';
import {type Address, type NodeId} from '../common/ids.js';
import {type GateClient} from '../forwarding/gate-client.js';
import {type PeerLink, type PeerTableView} from '../peers/peer-link.js';
import {isHeard, type Peer, type PeerLimits} from '../peers/peer-table.js';
import {type MeshLog} from '../timeline/mesh-log.js';
import {type SilenceWatchers} from './silence-watchers.js';

/** @internal */
export type LivenessMonitorContext = {
	readonly link: Pick<PeerLink, 'probe' | 'recordPause' | 'noteReached'> & {readonly table: Pick<PeerTableView, 'get' | 'findByGate'>};
	readonly limits: PeerLimits;
	readonly silenceWatchers: SilenceWatchers;
	readonly gateClient: Pick<GateClient, 'checkLiveness' | 'getLastReceivedAt'>;
	readonly log: MeshLog;
	/** Called with the delay of each check: how late its timer fired. */
	readonly handleDelay: (delayMs: number) => void;
};

/** @internal */
export type LivenessMonitor = {
	readonly start: () => void;
	/** Called with each round of heartbeats and its delay. An idle node checks only then. */
	readonly handleRound: (lateMs: number) => void;
	readonly dispose: () => void;
};

/**
 * Interval of checks while requests wait for other nodes or a probe is unanswered. An idle node checks with its rounds of heartbeats, for which the process
 * wakes up anyway.
 */
const checkIntervalMs = 100;

/** A node that requests wait for is probed after this time without a sign of life. A little more than one heartbeat period. */
const probeAfterMs = 500;

/** Interval of probes to a node that does not answer. Three probes fit into the probe timeout, since datagrams may be lost. */
const probeRetryMs = 200;

/** How long a node that does not answer is probed. After that, only its heartbeats show that it is alive again. */
const probeDurationMs = 3000;

/** A timer that fires late by more than this shows that the process was paused, not just busy. */
const pauseThresholdMs = 400;

/** Pause threshold for the heartbeat rounds of an idle node. It is lower because the pause may have begun up to one period before the round was due, and a pause of this node must not make the other nodes look silent. */
const idlePauseThresholdMs = 150;

/**
 * @param context - The other nodes and the watchers of silent ones.
 * @returns The monitor, not started yet.
 * @internal
 */
export function createLivenessMonitor(context: LivenessMonitorContext): LivenessMonitor {
	const {link, limits, silenceWatchers, gateClient, log, handleDelay} = context;
	let timer: NodeJS.Timeout | undefined;
	let isRunning = false;
	let checkedAt = 0;
	/** When each node was last probed, in steady milliseconds. */
	const lastProbedAt = new Map<NodeId, number>();

	const getHeardAt = (gate: Address): number | undefined => link.table.findByGate(gate)?.heardAt;

	/** Returns whether a node was probed and has not answered yet. */
	const isProbing = ({probedAt}: Peer, now: number): boolean => probedAt !== undefined && now - probedAt < probeDurationMs;

	/** Returns whether a node needs a probe. A request that has waited only briefly is no reason for one, even if the last heartbeat of the node is old. */
	const isProbeDue = (peer: Peer, waitingSince: number, now: number): boolean => peer.probedAt === undefined
		? now - Math.max(peer.heardAt, waitingSince) > probeAfterMs
		: isProbing(peer, now);

	const sendProbe = (node: NodeId, now: number): void => {
		if (now - (lastProbedAt.get(node) ?? 0) >= probeRetryMs) {
			lastProbedAt.set(node, now);
			link.probe(node);
		}
	};

	/**
	 * Treats bytes received on a connection as a sign of life. A link saturated by large responses drops datagrams, probes as well as reports, while data on a
	 * connection is retransmitted.
	 */
	const recordReceivedBytes = (): void => {
		for (const [node] of silenceWatchers.listWatchedNodes()) {
			const peer = link.table.get(node);
			if (peer !== undefined && gateClient.getLastReceivedAt(peer.report.gate) > peer.heardAt) {
				link.noteReached(node);
			}
		}
	};

	/** Probes the nodes that requests wait for, and repeats the probe to a node that has not answered yet, since a probe or its answer may be lost. */
	const probeSilentNodes = (now: number): void => {
		for (const [node, waitingSince] of silenceWatchers.listWatchedNodes()) {
			const peer = link.table.get(node);
			if (peer !== undefined && isProbeDue(peer, waitingSince, now)) {
				sendProbe(node, now);
			}
		}

		for (const node of lastProbedAt.keys()) {
			const peer = link.table.get(node);
			if (peer === undefined || !isProbing(peer, now)) {
				lastProbedAt.delete(node);
			} else {
				sendProbe(node, now);
			}
		}
	};

	/** Logs a pause. Shorter delays are not logged, since a busy node that waits for no other node may be a little late. */
	const reportPause = (delayMs: number): void => {
		if (delayMs > pauseThresholdMs) {
			log.record('warn', {kind: 'node-paused', forMs: Math.round(delayMs)});
		}
	};

	const checkPeers = (now: number, delayMs: number, thresholdMs: number): void => {
		handleDelay(delayMs);
		if (delayMs > thresholdMs) {
			reportPause(delayMs);
			link.recordPause(delayMs);
		} else {
			gateClient.checkLiveness(now, getHeardAt);
		}

		recordReceivedBytes();
		probeSilentNodes(now);
		silenceWatchers.notify(node => {
			const peer = link.table.get(node);
			return peer === undefined || !isHeard(peer, limits, now);
		});
	};

	const stopChecking = (): void => {
		clearInterval(timer);
		timer = undefined;
	};

	const checkAtInterval = (): void => {
		const now = readSteadyMs();
		const delayMs = now - checkedAt - checkIntervalMs;
		checkedAt = now;
		checkPeers(now, delayMs, pauseThresholdMs);
		if (lastProbedAt.size === 0 && silenceWatchers.countWatchers() === 0) {
			stopChecking();
		}
	};

	const startChecking = (): void => {
		if (timer === undefined && isRunning) {
			checkedAt = readSteadyMs();
			timer = setInterval(checkAtInterval, checkIntervalMs);
		}
	};

	return {
		start() {
			isRunning = true;
			silenceWatchers.listenForFirstWatcher(startChecking);
			if (silenceWatchers.countWatchers() > 0) {
				startChecking();
			}
		},
		handleRound(lateMs) {
			// While the interval timer runs, it reports pauses.
			if (timer === undefined && isRunning) {
				checkPeers(readSteadyMs(), lateMs, idlePauseThresholdMs);
			}
		},
		dispose() {
			isRunning = false;
			stopChecking();
		},
	};
}
