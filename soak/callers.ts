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
import {getPrefix, steadyRoutes, type SoakRoute} from './soak-config.js';

/** Where and for how long callers send. */
export type CallerSettings = {
	readonly node: string;
	/** Where the node takes requests. */
	readonly address: string;
	readonly seed: number;
	/** Index of the newest configuration that has been written. */
	readonly getNewest: () => number;
	readonly handleCall: (call: CallRecord) => void;
};

export type Callers = {
	readonly stop: () => Promise<void>;
};

/** Callers beside each node; the last one opens a connection for each request. */
const callersPerNode = 4;

/** The longest time between two requests of a caller. Milliseconds. */
const longestThinkMs = 300;

/** How long callers wait. Milliseconds. */
const timesLeftMs = [800, 1500, 2500] as const;

/** Milliseconds beyond its own time at which a caller leaves in any case. */
const afterTimeMs = 500;

/** Of so many requests one is given up early, and one asks which configuration is in force. */
const leavesOneIn = 25;
const asksVersionOneIn = 4;

/** Of the configurations so many back are asked for. */
const askedBack = 4;

/** Bytes of large bodies. */
const uploadBytes = 60_000;

type PickBelow = (below: number) => number;

function pickRoute(pick: PickBelow, newest: number): SoakRoute {
	if (pick(asksVersionOneIn) > 0) {
		return steadyRoutes[pick(steadyRoutes.length)]!;
	}

	const index = Math.max(1, newest + 1 - pick(askedBack));
	return ([{type: 'since', index}, {type: 'until', index}, {type: 'turn'}] as const)[pick(3)]!;
}

/**
 * Starts callers beside a node.
 *
 * @param settings - Where and for how long they send.
 * @returns The callers.
 */
export function startCallers(settings: CallerSettings): Callers {
	const {node, address, seed, getNewest, handleCall} = settings;
	let isStopping = false;
	let sent = 0;

	const call = async (pick: PickBelow, agent: Agent | undefined): Promise<CallRecord> => {
		const route = pickRoute(pick, getNewest());
		const isSafe = route.type !== 'steady' || route.isSafe;
		const isUpload = route.type === 'steady' && route.prefix === '/upload/';
		sent++;
		const id = `${node}-${sent}`;
		const method = isSafe ? 'GET' : 'POST';
		const target = `${getPrefix(route)}${id}?page=${pick(1000)}`;
		const body = isSafe ? '' : `${id} `.padEnd(isUpload ? uploadBytes : 100, 'x');
		const timeLeftMs = timesLeftMs[pick(timesLeftMs.length)]!;
		const leaveAfterMs = pick(leavesOneIn) === 0 ? 5 + pick(60) : timeLeftMs + afterTimeMs;
		const sentAt = Date.now();
		const answer = await sendCall(address, target, {
			method, id, timeLeftMs, disconnectAfterMs: leaveAfterMs, agent, body: isSafe ? undefined : body,
		});
		const endedAt = Date.now();
		const getHeader = (name: string): string | undefined => answer.headers[name] as string | undefined;
		return {
			id, node, route, method, target, body, timeLeftMs, sentAt, endedAt, status: answer.status, text: answer.body,
			signature: getHeader(platformHeaders.signature), echoedId: getHeader(platformHeaders.callId), hasLeft: answer.status === 0 && endedAt - sentAt >= leaveAfterMs - 5,
		};
	};

	const run = async (index: number): Promise<void> => {
		const random = randomLcg(((seed * 7919) + index) / 4_294_967_296);
		const pick: PickBelow = below => Math.floor(random() * below);
		const agent = index === callersPerNode - 1 ? undefined : new Agent({keepAlive: true, maxSockets: 1});
		while (!isStopping) {
			await sleep(pick(longestThinkMs));
			handleCall(await call(pick, agent));
		}

		agent?.destroy();
	};

	const running = Array.from({length: callersPerNode}, async (_, index) => run(index));
	return {
		async stop() {
			isStopping = true;
			await Promise.all(running);
		},
	};
}
