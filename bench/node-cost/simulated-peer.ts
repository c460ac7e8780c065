/**
 * Simulates another node of the mesh for one real node: sends heartbeats at the
 * planned intervals, answers requests for its backend server, and sends requests.
 *
 * @module
 */
import {Buffer} from 'node:buffer';
import {createSocket} from 'node:dgram';
import {createServer} from 'node:net';
import {parseAddress} from '../../src/lib/common/address.js';
import {
	toBackendServerId, toFailureDomain, toNodeId, type Address,
} from '../../src/lib/common/ids.js';
import {createCallScope} from '../../src/lib/forwarding/call-scope.js';
import {createFrameReader, writeFrame} from '../../src/lib/forwarding/frame.js';
import {createGateClient} from '../../src/lib/forwarding/gate-client.js';
import {decodePeerRequest, encodePeerAnswer} from '../../src/lib/forwarding/peer-messages.js';
import {computePeriods, planHeartbeats} from '../../src/lib/peers/heartbeat-plan.js';
import {computeRoundDelay} from '../../src/lib/peers/heartbeat-rounds.js';
import {encodeReport, type PeerReport} from '../../src/lib/peers/peer-report.js';
import {readNow, readSteadyMs} from '../../src/lib/common/clock.js';
import {platformHeaders} from '../../platform/platform-headers.js';

/** Options of a simulated node. */
export type SimulatedPeerOptions = {
	readonly name: string;
	readonly failureDomain: string;
	readonly service: string;
	readonly gate: Address;
	readonly gossip: Address;
	/** Nodes of each failure domain, for the heartbeat plan. */
	readonly nodesOfDomain: number;
	readonly nodes: number;
	/** Milliseconds that a request takes at its backend server. */
	readonly workMs: number;
	/** Milliseconds by which its clock differs from that of the measured node. */
	readonly clockOffsetMs: number;
	/** Whether it reports that it watches the store for other nodes. */
	readonly isFollowing: boolean;
	/** Version of the configuration that it reports. */
	readonly version: number;
	/** Whether its reports contain the departure of an earlier backend server. */
	readonly isDeparting: boolean;
};

/** @internal */
export type SimulatedPeer = {
	/** Starts to listen, and to send heartbeats to the node. */
	readonly start: (node: Address, isInOwnDomain: boolean) => Promise<void>;
	/** Sends a request for the backend server beside the node. Returns whether it was answered. */
	readonly call: (gate: Address, server: string, target: string) => Promise<boolean>;
	/** Returns the number of datagrams received from the node. */
	readonly countReceived: () => number;
	readonly close: () => Promise<void>;
};

/** Time between two heartbeat rounds of a real node. */
const heartbeatPeriodMs = 400;

const callTimeoutMs = 5000;

/**
 * @param options - Options of the node.
 * @returns The simulated node, which does not listen yet.
 * @internal
 */
export function createSimulatedPeer(options: SimulatedPeerOptions): SimulatedPeer {
	const socket = createSocket('udp4');
	const client = createGateClient();
	const plan = planHeartbeats({ownDomainNodes: options.nodesOfDomain - 1, otherDomainNodes: options.nodes - options.nodesOfDomain, isFollowing: options.isFollowing});
	let sequence = 0;
	let receivedCount = 0;
	let timer: NodeJS.Timeout | undefined;

	const createReport = (): PeerReport => ({
		node: toNodeId(options.name), run: 'r1', sequence: ++sequence, domain: toFailureDomain(options.failureDomain), gate: options.gate, gossip: options.gossip,
		version: options.version, isLeaving: false,
		server: {
			lifetime: {id: toBackendServerId(`i-${options.name}`), startedAt: 1}, service: options.service,
			slots: 8, state: 'ready', coldMs: 0, running: 3, waiting: 0, serviceMs: options.workMs, failureShare: 0, version: 'v1',
		},
		duties: {
			linkMbps: options.isFollowing ? 100 : 10, isFollowing: options.isFollowing, storeSeenMs: 50, storeEra: 1,
		}, periods: computePeriods(plan, heartbeatPeriodMs), isProbe: false, suspects: [], departures: options.isDeparting ? [{node: toNodeId(options.name), lifetime: {id: toBackendServerId(`i-${options.name}-before`), startedAt: 1}}] : [],
	});

	const sendReport = (node: Address): void => {
		const {host, port} = parseAddress(node);
		socket.send(Buffer.from(encodeReport(createReport())), port, host);
	};

	const server = createServer({noDelay: true}, connection => {
		const reader = createFrameReader();
		connection.on('error', () => undefined);
		connection.on('data', (bytes: Uint8Array) => {
			for (const {type, id, head, body} of reader.read(bytes)) {
				if (type === 'request') {
					const {id: call} = decodePeerRequest(head);
					setTimeout(() => {
						const answer = encodePeerAnswer({
							load: {
								running: 3, waiting: 0, serviceMs: options.workMs, tookMs: options.workMs,
							},
							result: {
								type: 'answered', status: 200, headers: {[platformHeaders.callId]: call, [platformHeaders.signature]: 'sig'}, body: Buffer.alloc(1500, 97 + (body.length % 2)),
							},
						});
						writeFrame(connection, {type: 'answer', id, ...answer});
					}, options.workMs);
				} else if (type === 'ping') {
					writeFrame(connection, {type: 'pong', id});
				}
			}
		});
	});

	return {
		async start(node, isInOwnDomain) {
			const gossip = parseAddress(options.gossip);
			const gate = parseAddress(options.gate);
			await new Promise<void>((resolve, reject) => {
				socket.once('error', reject);
				socket.bind(gossip.port, gossip.host, resolve);
			});
			await new Promise<void>((resolve, reject) => {
				server.once('error', reject);
				server.listen(gate.port, gate.host, resolve);
			});
			socket.on('message', bytes => {
				receivedCount++;
				const report = JSON.parse(bytes.toString()) as readonly unknown[];
				if (report.at(-1) === 1 || receivedCount === 1) {
					sendReport(node);
				}
			});
			const heartbeatIntervalMs = (isInOwnDomain ? plan.ownDomain : plan.otherDomain) * heartbeatPeriodMs;
			// A node that starts contacts every node, and each answers immediately.
			sendReport(node);
			const rounds = Math.round(heartbeatIntervalMs / heartbeatPeriodMs);
			let round = Math.floor(Math.random() * rounds);
			const runRound = (): void => {
				timer = setTimeout(runRound, computeRoundDelay(readNow() + options.clockOffsetMs, heartbeatPeriodMs));
				round++;
				if (round % rounds === 0) {
					sendReport(node);
				}
			};

			timer = setTimeout(runRound, computeRoundDelay(readNow() + options.clockOffsetMs, heartbeatPeriodMs));
		},
		async call(gate, target, path) {
			const scope = createCallScope(readSteadyMs() + callTimeoutMs);
			const {result} = await client.send({
				gate, body: undefined, isBulk: false, scope, id: Math.random().toString(16).slice(2), server: toBackendServerId(target), method: 'GET', target: path,
				headers: {host: 'mesh.example', accept: '*/*', 'user-agent': 'caller'}, callerService: options.service, rank: 1, mayWaitMs: 0, isCounted: false,
			});
			scope.dispose();
			return result.type === 'answered';
		},
		countReceived: () => receivedCount,
		async close() {
			clearTimeout(timer);
			client.dispose();
			socket.close();
			await new Promise(resolve => {
				server.close(resolve);
			});
		},
	};
}
