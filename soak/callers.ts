/**
 * Callers of a soak. They use their open connections until the process of the
 * node has ended, even while it is draining, and record each response.
 *
 * @module
 */
import {Agent} from 'node:http';
import {setTimeout as sleep} from 'node:timers/promises';
import {randomLcg} from 'd3-random';
import {sendCall} from '../platform/test-mesh.js';
import {platformHeaders} from '../platform/platform-headers.js';
import {type CallRecord} from './record.js';
import {
	getRoutePrefix, keys, steadyRoutes, type SoakRoute,
} from './soak-config.js';

/** Settings of the callers beside one node. */
export type CallerSettings = {
	readonly node: string;
	/** Address at which the node accepts requests of callers. */
	readonly address: string;
	/** Seed of their random choices. */
	readonly seed: number;
	/** Returns the index of the newest configuration in the store. */
	readonly getNewestConfigIndex: () => number;
	/** Called with each request when it has ended. */
	readonly handleCall: (call: CallRecord) => void;
};

export type Callers = {
	/** Stops sending, and waits for the requests in flight. */
	readonly stop: () => Promise<void>;
};

/** The last caller of each node opens a connection for each request; the others reuse theirs. */
const callersPerNode = 4;

/** Maximum pause between two requests of a caller. */
const maxThinkTimeMs = 300;

/** Timeouts that callers give their requests. */
const callerTimeoutsMs = [800, 1500, 2500] as const;

/** How long after its timeout a caller disconnects at the latest. */
const disconnectMarginMs = 500;

/** One of this many requests is cancelled early by a disconnect of the caller. */
const earlyDisconnectOneIn = 25;

/** One of this many requests uses a route that depends on the configuration in force. */
const configProbeOneIn = 4;

/** How many configurations such requests choose from: the next one, which is not written yet, and the latest before it. */
const probedConfigCount = 4;

/** One of this many requests uses a key that depends on the configuration in force. */
const changingKeyOneIn = 6;

/** One of this many requests has no key, or one that no configuration holds. */
const noKeyOneIn = 20;

/** Size of the body of an upload. */
const uploadBytes = 60_000;

type PickInteger = (below: number) => number;

function pickRoute(pickInteger: PickInteger, newestConfigIndex: number): SoakRoute {
	if (pickInteger(configProbeOneIn) > 0) {
		return steadyRoutes[pickInteger(steadyRoutes.length)]!;
	}

	const index = Math.max(1, newestConfigIndex + 1 - pickInteger(probedConfigCount));
	return ([{type: 'since', index}, {type: 'until', index}, {type: 'turn'}] as const)[pickInteger(3)]!;
}

function pickKey(pickInteger: PickInteger): string | undefined {
	if (pickInteger(noKeyOneIn) === 0) {
		return [undefined, keys.unknown][pickInteger(2)];
	}

	return pickInteger(changingKeyOneIn) === 0 ? keys.changing : keys.steady[pickInteger(keys.steady.length)];
}

/** What a call sends. */
type SentCall = Pick<CallRecord, 'id' | 'node' | 'route' | 'method' | 'target' | 'key' | 'body' | 'timeLeftMs' | 'isNested'>;

/**
 * Sends a call, and records its response.
 *
 * @param address - The address at which the node accepts calls.
 * @param call - The call.
 * @param options - When the caller disconnects, in milliseconds, and its connections; a new connection if omitted.
 * @returns What the caller observed.
 */
export async function sendRecordedCall(address: string, call: SentCall, {leaveAfterMs, agent}: {readonly leaveAfterMs: number; readonly agent?: Agent | undefined}): Promise<CallRecord> {
	const {id, method, target, key, body, timeLeftMs} = call;
	const sentAt = Date.now();
	const response = await sendCall(address, target, {
		method, id, timeLeftMs, disconnectAfterMs: leaveAfterMs, ...agent === undefined ? {} : {agent}, ...body === '' ? {} : {body}, headers: key === undefined ? {} : {authorization: `Token ${key}`},
	});
	const endedAt = Date.now();
	const getHeader = (name: string): string | undefined => response.headers[name] as string | undefined;
	return {
		...call, sentAt, endedAt, status: response.status, text: response.body,
		signature: getHeader(platformHeaders.signature), echoedId: getHeader(platformHeaders.callId),
		namesLimit: getHeader(platformHeaders.serverLimit) !== undefined, saysLeaving: getHeader(platformHeaders.serverLeaving) === '1', hasLeft: response.status === 0 && endedAt - sentAt >= leaveAfterMs - 5,
	};
}

/**
 * Starts the callers of one node.
 *
 * @param settings - Their settings.
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
		const key = pickKey(pickInteger);
		return sendRecordedCall(address, {
			id, node, route, method, target, key, body, timeLeftMs,
		}, {leaveAfterMs, agent});
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
