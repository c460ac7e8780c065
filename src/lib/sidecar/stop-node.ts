/**
 * Stops the parts of a sidecar node in order, and logs what it has in flight at each step.
 *
 * @module
 */
import {type EntryServer} from '../forwarding/entry-server.js';
import {type GateClient} from '../forwarding/gate-client.js';
import {type GateServer} from '../forwarding/gate-server.js';
import {type LinkWriter} from '../forwarding/link-writer.js';
import {type LocalGate} from '../forwarding/local-gate.js';
import {type MeshLog} from '../timeline/mesh-log.js';
import {runGracefulShutdown} from './graceful-shutdown.js';

/** The parts of the node that stops. @internal */
export type StoppingNode = {
	readonly entry: Omit<EntryServer, 'server' | 'applyLimits'>;
	readonly gateServer: Pick<GateServer, 'stopAt' | 'countUnsentResponses'>;
	readonly gate: Pick<LocalGate, 'countRequests'>;
	readonly gateClient: Pick<GateClient, 'endLateUploads'>;
	readonly linkWriter: Pick<LinkWriter, 'countQueuedBytes'>;
	readonly log: MeshLog;
	/** Removes the node's entry from the store. */
	readonly withdraw: () => void;
	/** Stops accepting requests for the backend server and announces that to the other nodes. */
	readonly closeGate: () => void;
};

/** Requests in flight, by the place where they are. */
type InFlight = {readonly calls: number; readonly gateRequests: number; readonly unsentAnswers: number; readonly unsentResponses: number};

/** Maximum number of requests without an answer whose ids are logged at the exit. */
const maxListedCalls = 20;

/** Counts requests in flight. A request whose response is not fully sent is among them: exiting now would truncate the response. */
const describeInFlight = ({entry, gate, gateServer}: StoppingNode): InFlight => ({
	calls: entry.countCalls(), gateRequests: gate.countRequests(), unsentAnswers: entry.countUnsentAnswers(), unsentResponses: gateServer.countUnsentResponses(),
});

function countInFlight(node: StoppingNode): number {
	const {calls, gateRequests, unsentAnswers, unsentResponses} = describeInFlight(node);
	return calls + gateRequests + unsentAnswers + unsentResponses;
}

/**
 * Stops a node without losing requests. Its readiness check must already report that it is not ready.
 *
 * @param node - The parts of the node.
 * @param limitMs - Time until the process must have exited, in milliseconds.
 * @returns Resolves when the node can exit.
 * @internal
 */
export async function stopNode(node: StoppingNode, limitMs: number): Promise<void> {
	const {entry, gateServer, gate, gateClient, linkWriter, log} = node;
	log.record('info', {kind: 'node-draining', reason: 'signal', requests: countInFlight(node)});
	const stoppedAfterMs = await runGracefulShutdown({
		answerBy(time) {
			entry.stopAt(time);
			gateServer.stopAt(time);
			gateClient.endLateUploads(time);
		},
		withdraw: node.withdraw,
		closeGate: node.closeGate,
		closeAfterAnswers: entry.startClosing,
		refuseLateRequests: entry.refuseLateRequests,
		stopListening: entry.stopListening,
		countServerRequests: gate.countRequests,
		countInFlight: () => countInFlight(node),
		handleStep(step, afterMs, lateMs) {
			log.record('info', {
				kind: 'shutdown-step', step, afterMs: Math.round(afterMs), ...lateMs === undefined ? {} : {lateMs: Math.round(lateMs)}, ...describeInFlight(node),
			});
		},
	}, limitMs);
	log.record('info', {
		kind: 'node-stopped', requests: countInFlight(node), ...describeInFlight(node), queuedBytes: linkWriter.countQueuedBytes(), afterMs: Math.round(stoppedAfterMs),
		unanswered: entry.listCalls().slice(0, maxListedCalls),
	});
}
