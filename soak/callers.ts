/**
 * Callers of a soak. They keep using their open connections until the process
 * is gone, whatever it says of itself, and write down what they saw.
 *
 * @module
 */
import {Agent} from 'node:http';
import {setTimeout as sleep} from 'node:timers/promises';
import {randomLcg} from 'd3-random';
import {sendCall} from '../platform/test-mesh.js';
import {platformHeaders} from '../platform/platform-headers.js';
import {type CallRecord} from './record.js';
import {getRoutePrefix, steadyRoutes, type SoakRoute} from './soak-config.js';

/** Where and for how long callers send. */
export type CallerSettings = {
	readonly node: string;
	/** Where the node takes requests. */
	readonly address: string;
	readonly seed: number;
	/** Index of the newest configuration that has been written. */
	readonly getNewestConfigIndex: () => number;
	readonly handleCall: (call: CallRecord) => void;
};

export type Callers = {
	readonly stop: () => Promise<void>;
};

/** Callers beside each node; the last one opens a connection for each request. */
const callersPerNode = 4;

/** The longest time between two requests of a caller. Milliseconds. */
const maxThinkTimeMs = 300;

/** How long callers wait. Milliseconds. */
const callerTimeoutsMs = [800, 1500, 2500] as const;

/** Milliseconds beyond its own time at which a caller leaves in any case. */
const disconnectMarginMs = 500;

/** Of so many requests one is given up early, and one asks which configuration is in force. */
const earlyDisconnectOneIn = 25;
const configProbeOneIn = 4;

/** Of the configurations so many back are asked for. */
const probedConfigCount = 4;

/** Bytes of large bodies. */
const uploadBytes = 60_000;

type PickInteger = (below: number) => number;

function pickRoute(pickInteger: PickInteger, newestConfigIndex: number): SoakRoute {
	if (pickInteger(configProbeOneIn) > 0) {
		return steadyRoutes[pickInteger(steadyRoutes.length)]!;
	}

	const index = Math.max(1, newestConfigIndex + 1 - pickInteger(probedConfigCount));
	return ([{type: 'since', index}, {type: 'until', index}, {type: 'turn'}] as const)[pickInteger(3)]!;
}

/**
 * Starts callers beside a node.
 *
 * @param settings - Where and for how long they send.
 * @returns The callers.
 */
export function startCallers(settings: CallerSettings): Callers {
	const {node, address, seed, getNewestConfigIndex, handleCall} = settings;
	let isStopping = false;
	let sent = 0;

	const sendRequest = async (pickInteger: PickInteger, agent: Agent | undefined): Promise<CallRecord> => {
		const route = pickRoute(pickInteger, getNewestConfigIndex());
		const isSafe = route.type !== 'steady' || route.isSafe;
		const isUpload = route.type === 'steady' && route.prefix === '/upload/';
		sent++;
		const id = `${node}-${sent}`;
		const method = isSafe ? 'GET' : 'POST';
		const target = `${getRoutePrefix(route)}${id}?page=${pickInteger(1000)}`;
		const body = isSafe ? '' : `${id} `.padEnd(isUpload ? uploadBytes : 100, 'x');
		const timeLeftMs = callerTimeoutsMs[pickInteger(callerTimeoutsMs.length)]!;
		const leaveAfterMs = pickInteger(earlyDisconnectOneIn) === 0 ? 5 + pickInteger(60) : timeLeftMs + disconnectMarginMs;
		const sentAt = Date.now();
		const response = await sendCall(address, target, {
			method, id, timeLeftMs, disconnectAfterMs: leaveAfterMs, agent, body: isSafe ? undefined : body,
		});
		const endedAt = Date.now();
		const getHeader = (name: string): string | undefined => response.headers[name] as string | undefined;
		return {
			id, node, route, method, target, body, timeLeftMs, sentAt, endedAt, status: response.status, text: response.body,
			signature: getHeader(platformHeaders.signature), echoedId: getHeader(platformHeaders.callId), hasLeft: response.status === 0 && endedAt - sentAt >= leaveAfterMs - 5,
		};
	};

	const runCaller = async (index: number): Promise<void> => {
		const random = randomLcg(((seed * 7919) + index) / 4_294_967_296);
		const pickInteger: PickInteger = below => Math.floor(random() * below);
		const agent = index === callersPerNode - 1 ? undefined : new Agent({keepAlive: true, maxSockets: 1});
		while (!isStopping) {
			await sleep(pickInteger(maxThinkTimeMs));
			handleCall(await sendRequest(pickInteger, agent));
		}

		agent?.destroy();
	};

	const running = Array.from({length: callersPerNode}, async (_, index) => runCaller(index));
	return {
		async stop() {
			isStopping = true;
			await Promise.all(running);
		},
	};
}
