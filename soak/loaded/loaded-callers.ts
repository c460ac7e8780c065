/**
 * The callers of a loaded mesh: they send at a rate that does not depend on the answers, over connections that they keep.
 *
 * @module
 */
import {Agent} from 'node:http';
import {setTimeout as sleep} from 'node:timers/promises';
import {randomExponential} from 'd3-random';
import {sendCall} from '../../platform/test-mesh.js';
import {platformHeaders} from '../../platform/platform-headers.js';
import {watchCall, type CallConnection} from './connection-watch.js';
import {requestClasses, type RequestClass} from './loaded-config.js';
import {createPipeliningCaller, type PipeliningCaller} from './pipelining-caller.js';
import {type LoadedVm} from './loaded-vm.js';

/** A request as its caller saw it. Times are Unix milliseconds. */
export type LoadedCall = {
	readonly id: string;
	readonly node: string;
	readonly target: string;
	/** For how long the caller waits, in milliseconds. */
	readonly timeLeftMs: number;
	readonly sentAt: number;
	readonly endedAt: number;
	/** HTTP status; 0 if the connection ended without a complete response. */
	readonly status: number;
	/** Whether a server signed the response. */
	readonly isSigned: boolean;
	readonly text: string;
	/** The connection to the node that carried it. */
	readonly connection?: CallConnection;
	/** Whether it was sent behind another one on its connection that was not answered. */
	readonly isBehind?: boolean;
};

/** How callers behave beside waiting for their answers. */
export type CallerHabit = {
	/** Share of the requests whose callers leave, and how long after they sent them, in milliseconds. */
	readonly givingUpShare: number;
	readonly givesUpAfterMs: number;
	/** Share of the requests that are sent again at once, as new requests, after a failure, and how often. */
	readonly repeatingShare: number;
	readonly repeats: number;
	/** Share of the requests without a body that are sent behind others on their connection. */
	readonly pipeliningShare: number;
};

export type LoadedCallers = {
	/** Sets the requests per second of all callers. */
	readonly setRate: (perSecond: number) => void;
	/** Sets a factor of the rate. */
	readonly setLoadFactor: (factor: number) => void;
	/** Changes what callers do that do not wait for the answer, or repeat what failed. */
	readonly setHabit: (change: Partial<CallerHabit>) => void;
	/** Stops sending, and waits for the requests in flight. */
	readonly stop: () => Promise<void>;
};

/** The open connections to a node. */
type Connections = {readonly agent: Agent; readonly pipelining: PipeliningCaller};

/** One of this many requests is sent to a node although the platform offers its callers no new work. */
const persistentOneIn = 4;

/** How long after its timeout a caller disconnects. */
const disconnectMarginMs = 500;

const totalWeight = requestClasses.reduce((sum, {weight}) => sum + weight, 0);

function pickClass(random: () => number): RequestClass {
	let left = random() * totalWeight;
	for (const requestClass of requestClasses) {
		left -= requestClass.weight;
		if (left < 0) {
			return requestClass;
		}
	}

	return requestClasses[0]!;
}

/**
 * Starts the callers beside all nodes.
 *
 * @param vms - The VMs.
 * @param perSecond - Requests per second, of all of them.
 * @param random - Random numbers, 0 to 1.
 * @param handleCall - Called with each request when it has ended.
 * @returns The callers.
 */
export function startLoadedCallers(vms: readonly LoadedVm[], perSecond: number, random: () => number, handleCall: (call: LoadedCall) => void): LoadedCallers {
	let rate = perSecond;
	let loadFactor = 1;
	let habit: CallerHabit = {
		givingUpShare: 0, givesUpAfterMs: 0, repeatingShare: 0, repeats: 0, pipeliningShare: 0,
	};
	const isChosen = (share: number): boolean => share > 0 && random() < share;
	let isStopping = false;
	let sent = 0;
	const inFlight: Array<Promise<void>> = [];

	/** Sends a request. Returns whether its caller needs no other: it was answered, or its caller has left. */
	const sendOnce = async ({node, callerAddress, findConnection}: LoadedVm, {agent, pipelining}: Connections, {prefix, type, callerTimeoutMs, bodyBytes}: RequestClass): Promise<boolean> => {
		sent++;
		const id = `${node.name}-${sent}`;
		const target = `${prefix}${id}`;
		const {handleSocket, finish} = watchCall(findConnection);
		const sentAt = Date.now();
		const givesUpAfterMs = isChosen(habit.givingUpShare) ? habit.givesUpAfterMs : undefined;
		if (bodyBytes === 0 && isChosen(habit.pipeliningShare)) {
			const {hasLeft, ...end} = await pipelining.send(target, id, callerTimeoutMs, givesUpAfterMs ?? callerTimeoutMs + disconnectMarginMs);
			const endedAt = Date.now();
			if (!hasLeft || endedAt - sentAt >= callerTimeoutMs) {
				handleCall({
					id, node: node.name, target, timeLeftMs: callerTimeoutMs, sentAt, endedAt, ...end,
				});
			}

			return hasLeft || end.status === 200;
		}

		const {status, body, headers} = await sendCall(callerAddress, target, {
			id, agent, method: type === 'safe' ? 'GET' : 'POST', timeLeftMs: callerTimeoutMs, disconnectAfterMs: givesUpAfterMs ?? callerTimeoutMs + disconnectMarginMs, handleSocket,
			...bodyBytes === 0 ? {} : {body: 'x'.repeat(Math.ceil(bodyBytes * (0.2 + (1.6 * random()))))},
		});
		const endedAt = Date.now();
		if (status === 0 && givesUpAfterMs !== undefined && endedAt - sentAt >= givesUpAfterMs) {
			return true;
		}

		handleCall({
			id, node: node.name, target, timeLeftMs: callerTimeoutMs, sentAt, endedAt, status, isSigned: headers[platformHeaders.signature] !== undefined, text: body,
			connection: finish(),
		});
		return status === 200;
	};

	const send = async (vm: LoadedVm, connections: Connections): Promise<void> => {
		const requestClass = pickClass(random);
		const repeats = isChosen(habit.repeatingShare) ? habit.repeats : 0;
		let isAnswered = await sendOnce(vm, connections, requestClass);
		for (let sentAgain = 0; sentAgain < repeats && !isAnswered && !isStopping; sentAgain++) {
			isAnswered = await sendOnce(vm, connections, requestClass);
		}
	};

	const runCallers = async (vm: LoadedVm): Promise<void> => {
		const connections: Connections = {agent: new Agent({keepAlive: true}), pipelining: createPipeliningCaller(vm.callerAddress)};
		while (!isStopping) {
			await sleep(randomExponential.source(random)(rate * loadFactor / vms.length / 1000)());
			if (vm.isOfferedWork() || Math.floor(random() * persistentOneIn) === 0) {
				inFlight.push(send(vm, connections));
			}
		}

		await Promise.all(inFlight);
		connections.agent.destroy();
		connections.pipelining.close();
	};

	const running = vms.map(async vm => runCallers(vm));
	return {
		setRate(next) {
			rate = next;
		},
		setLoadFactor(factor) {
			loadFactor = factor;
		},
		setHabit(change) {
			habit = {...habit, ...change};
		},
		async stop() {
			isStopping = true;
			await Promise.all(running);
		},
	};
}
