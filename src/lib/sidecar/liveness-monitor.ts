/**
 * Watches over the other nodes while requests wait for them: asks those that
 * have not been heard, tells the requests of those that are silent, and gives
 * up connections on which nothing arrives.
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
	readonly link: Pick<PeerLink, 'probe' | 'forgiveSilence' | 'noteReached'> & {readonly table: Pick<PeerTableView, 'get' | 'findGate'>};
	readonly limits: PeerLimits;
	readonly silenceWatchers: SilenceWatchers;
	readonly gateClient: Pick<GateClient, 'checkSilence' | 'getReceivedAt'>;
	readonly log: MeshLog;
	/** Told how late this process is, in milliseconds. */
	readonly handleDelay: (delayMs: number) => void;
};

/** @internal */
export type LivenessMonitor = {
	readonly start: () => void;
	/** Called with each round of heartbeats and by how much it was late, in milliseconds: the pace of an idle node. */
	readonly handleRound: (lateMs: number) => void;
	readonly dispose: () => void;
};

/**
 * Milliseconds between two looks while requests wait for other nodes, or a question of this node does. An idle node looks with its rounds of heartbeats,
 * for which it is awake anyway.
 */
const checkIntervalMs = 100;

/** A node that requests wait for and that has not been heard for this long is asked for a report. Milliseconds, a little more than one period of heartbeats. */
const probeAfterMs = 500;

/** Milliseconds until a node that has not answered is asked again: three questions fit into the time in which it has to answer, since datagrams are lost now and then. */
const probeRetryMs = 200;

/** For how long it is asked; later its heartbeats tell. Milliseconds. */
const probeDurationMs = 3000;

/** A timer that fires this late shows that the process stood still, rather than that it was busy. Milliseconds. */
const pauseThresholdMs = 400;

/** The same for a round of an idle node, in milliseconds: a pause may have begun up to a period earlier, and with that the others must not seem silent. */
const idlePauseThresholdMs = 150;

/**
 * @param context - The other nodes and who waits for them.
 * @returns The watch, not started yet.
 * @internal
 */
export function createLivenessMonitor(context: LivenessMonitorContext): LivenessMonitor {
	const {link, limits, silenceWatchers, gateClient, log, handleDelay} = context;
	let timer: NodeJS.Timeout | undefined;
	let isRunning = false;
	let checkedAt = 0;
	/** When nodes were last asked, in steady milliseconds. */
	const lastProbedAt = new Map<NodeId, number>();

	const getHeardAt = (gate: Address): number | undefined => link.table.findGate(gate)?.heardAt;

	/** Whether a node that has been asked still has to answer. */
	const isProbing = ({probedAt}: Peer, now: number): boolean => probedAt !== undefined && now - probedAt < probeDurationMs;

	/** A request that has not waited for long yet shows nothing, however seldom the node's heartbeats are. */
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
	 * Takes bytes on a connection for a sign of life. On a link that is full of large answers datagrams are lost, question and report alike, and what goes over a
	 * connection gets through.
	 */
	const recordReceivedBytes = (): void => {
		for (const [node] of silenceWatchers.listWatchedNodes()) {
			const peer = link.table.get(node);
			if (peer !== undefined && gateClient.getReceivedAt(peer.report.gate) > peer.heardAt) {
				link.noteReached(node);
			}
		}
	};

	/** Asks the nodes that requests wait for, and those that have not answered yet: a question or its answer may be lost. */
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

	/** Names a pause. A node that answers others and waits for none may be a little late because it is busy, which is not worth a line. */
	const reportPause = (delayMs: number): void => {
		if (delayMs > pauseThresholdMs) {
			log.record('warn', {kind: 'node-paused', forMs: Math.round(delayMs)});
		}
	};

	const checkPeers = (now: number, delayMs: number, thresholdMs: number): void => {
		handleDelay(delayMs);
		if (delayMs > thresholdMs) {
			reportPause(delayMs);
			link.forgiveSilence(delayMs);
		} else {
			gateClient.checkSilence(now, getHeardAt);
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
			// While a timer of its own runs, that one tells of a pause.
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
