/**
 * A backend server of a loaded mesh: works for different times, calls other services through the node beside it, queues
 * what it has no slot for, stops at the time that it is given, sends some responses a second time, and can leave in order.
 *
 * @module
 */
import {
	createServer, Agent, type IncomingMessage, type ServerResponse,
} from 'node:http';
import {type AddressInfo, type Socket} from 'node:net';
import {setTimeout as sleep} from 'node:timers/promises';
import {randomLogNormal} from 'd3-random';
import {sendCall} from '../../platform/test-mesh.js';
import {platformHeaders} from '../../platform/platform-headers.js';
import {createSocketWatch, watchCall} from './connection-watch.js';
import {type LoadedCall} from './loaded-callers.js';
import {type LoadedRun} from './loaded-run.js';
import {createHang} from './server-hang.js';
import {createServerAnswers} from './server-answers.js';
import {callShare, findClass, type RequestClass} from './loaded-config.js';

export type LoadedServer = {
	readonly id: string;
	readonly address: string;
	readonly countInFlight: () => number;
	/** Makes all responses close their connections, since the server leaves. */
	readonly startLeaving: () => void;
	/** Multiplies the time that work takes. */
	readonly setSlowness: (factor: number) => void;
	/** Makes the server neither begin nor answer anything until it is set again. */
	readonly setHanging: (isHanging: boolean) => void;
	/** Sets which share of the requests the server refuses. */
	readonly setRefusedShare: (share: number) => void;
	/** Sets how many of its slots the server uses; `undefined` for all. */
	readonly setUsableSlots: (usable: number | undefined) => void;
	/** Ends the server's work for good: its process is gone, or it no longer answers anything but keeps its connections. */
	readonly crash: (isSilent: boolean) => void;
	/** Closes the server at once, as its process does at its end. */
	readonly close: () => Promise<void>;
};

/** What the server needs. */
export type LoadedServerContext = {
	readonly node: string;
	readonly slots: number;
	readonly random: () => number;
	/** Address at which the node beside the server accepts its calls. */
	readonly callAddress: string;
	readonly runs: LoadedRun[];
	/** Names of the faults of answers that the server has at present. */
	readonly answerFaultNames: ReadonlySet<string>;
	/** Called with each call of the server that has ended, unless the server no longer waited for it. */
	readonly handleCall: (call: LoadedCall) => void;
};

/** Requests that wait for a slot, as a multiple of the slots. More are reset. */
const queuedPerSlot = 4;

/** Spread of the work, as the standard deviation of its logarithm. */
const workSpread = 0.6;

async function readBytes(request: IncomingMessage): Promise<number> {
	let bytes = 0;
	for await (const chunk of request) {
		bytes += (chunk as Uint8Array).length;
	}

	return bytes;
}

/**
 * Starts a server.
 *
 * @param id - Its id.
 * @param host - The loopback IP address to listen on.
 * @param context - What the server needs.
 * @returns The server.
 */
export async function startLoadedServer(id: string, host: string, context: LoadedServerContext): Promise<LoadedServer> {
	const {node, slots, random, callAddress, runs, answerFaultNames, handleCall} = context;
	const agent = new Agent({keepAlive: true});
	const findConnection = createSocketWatch();
	const waiting: Array<() => void> = [];
	let running = 0;
	let inFlight = 0;
	let slowness = 1;
	let isLeaving = false;
	let isCrashed = false;
	let refusedShare = 0;
	let usableSlots = slots;
	/** Requests that the server works on. */
	const openRuns = new Set<LoadedRun>();
	/** Calls made so far. */
	let calls = 0;
	const hang = createHang();
	const {answer, answerEarly, refuse, giveUp} = createServerAnswers({
		random, answerFaultNames, describeLoad: () => `${running},${waiting.length},${slots}`, isLeaving: () => isLeaving, isCrashed: () => isCrashed,
	});

	const acquireSlot = async (): Promise<void> => {
		if (running >= usableSlots) {
			await new Promise<void>(resolve => {
				waiting.push(resolve);
			});
		}

		running++;
	};

	const releaseSlot = (): void => {
		running--;
		waiting.shift()?.();
	};

	const pickWorkMs = ({workMs, maxWorkMs}: RequestClass): number =>
		slowness * Math.min(maxWorkMs, randomLogNormal.source(random)(Math.log(workMs) - ((workSpread ** 2) / 2), workSpread)());

	/** Makes the calls that a request needs. Returns whether all were answered. */
	const callServices = async ({calls: nested}: RequestClass, run: LoadedRun): Promise<boolean> => {
		if (nested === undefined || random() > callShare) {
			return true;
		}

		const {callerTimeoutMs} = findClass(nested.prefix);
		const answers = await Promise.all(Array.from({length: nested.times}, async () => {
			const leftMs = Math.max(1, Math.floor(Math.min(callerTimeoutMs, run.at + run.leftMs - Date.now())));
			calls++;
			// A request that runs again makes its calls again, as requests of their own.
			const callId = `${run.id}.${id}.${calls}`;
			const target = `${nested.prefix}${run.id}`;
			const {handleSocket, finish} = watchCall(findConnection);
			const sentAt = Date.now();
			const {status, body, headers} = await sendCall(callAddress, target, {
				id: callId, timeLeftMs: leftMs, agent, disconnectAfterMs: leftMs, handleSocket,
			});
			const endedAt = Date.now();
			if (isCrashed) {
				return 0;
			}

			if (status !== 0 || endedAt - sentAt < leftMs) {
				handleCall({
					id: callId, node, target, timeLeftMs: leftMs, sentAt, endedAt, status, isSigned: headers[platformHeaders.signature] !== undefined, text: body, connection: finish(),
				});
			}

			return status;
		}));
		return answers.every(status => status === 200);
	};

	const work = async (request: IncomingMessage, response: ServerResponse, run: LoadedRun): Promise<void> => {
		if (answerEarly(request, response, run)) {
			return;
		}

		const bytes = await readBytes(request);
		const requestClass = findClass(run.target);
		await sleep(pickWorkMs(requestClass) / 2);
		const areAnswered = await callServices(requestClass, run);
		run.hasFailedCall = !areAnswered;
		await sleep(pickWorkMs(requestClass) / 2);
		hang.runWhenOver(() => {
			answer(response, run, areAnswered ? 200 : 500, bytes);
		});
	};

	const handle = async (request: IncomingMessage, response: ServerResponse): Promise<void> => {
		if (hang.isOn()) {
			await new Promise<void>(resolve => {
				hang.runWhenOver(resolve);
			});
		}

		if (isCrashed || response.destroyed) {
			return;
		}

		const getHeader = (name: string): string => String(request.headers[name] ?? '');
		const runId = getHeader(platformHeaders.callId);
		if (getHeader(platformHeaders.expectedServer) !== id) {
			request.resume();
			refuse(response, runId, 421);
			return;
		}

		const run: LoadedRun = {
			id: runId, server: id, node, target: request.url ?? '', at: Date.now(), leftMs: Number(getHeader(platformHeaders.timeLeft)),
			endedAt: undefined, status: undefined, brokenOffAt: undefined, abandonedAt: undefined, answerFault: undefined, hasFailedCall: false,
		};
		if (refusedShare > 0 && random() < refusedShare) {
			request.resume();
			refuse(response, runId, 503);
			return;
		}

		if (waiting.length >= usableSlots * queuedPerSlot) {
			request.socket.resetAndDestroy();
			return;
		}

		inFlight++;
		let isStarted = false;
		const timer = setTimeout(() => {
			hang.runWhenOver(() => {
				if (isStarted) {
					answer(response, run, 504);
				} else if (!isCrashed) {
					refuse(response, runId, 503);
				}
			});
		}, run.leftMs);
		response.once('close', () => {
			inFlight--;
			clearTimeout(timer);
			openRuns.delete(run);
			run.brokenOffAt = run.endedAt === undefined ? Date.now() : undefined;
		});
		await acquireSlot();
		try {
			if (response.writableEnded || response.destroyed || isCrashed) {
				return;
			}

			isStarted = true;
			runs.push(run);
			openRuns.add(run);
			await Promise.race([work(request, response, run), new Promise(resolve => {
				response.once('close', resolve);
			})]);
		} finally {
			releaseSlot();
		}
	};

	const handleSafely = async (request: IncomingMessage, response: ServerResponse): Promise<void> => {
		try {
			await handle(request, response);
		} catch {
			// The body did not arrive, since the connection has closed.
			response.destroy();
		}
	};

	const server = createServer({requestTimeout: 0}, (request, response) => {
		void handleSafely(request, response);
	});
	const sockets = new Set<Socket>();
	server.on('connection', socket => {
		sockets.add(socket);
		socket.once('close', () => {
			sockets.delete(socket);
		});
	});
	await new Promise<void>(resolve => {
		server.listen(0, host, resolve);
	});
	return {
		id,
		address: `${host}:${(server.address() as AddressInfo).port}`,
		countInFlight: () => inFlight,
		startLeaving() {
			isLeaving = true;
		},
		setSlowness(factor) {
			slowness = factor;
		},
		setHanging: hang.set,
		setRefusedShare(share) {
			refusedShare = share;
		},
		setUsableSlots(usable = slots) {
			usableSlots = usable;
		},
		crash(isSilent) {
			isCrashed = true;
			for (const run of openRuns) {
				giveUp(run);
			}

			agent.destroy();
			if (!isSilent) {
				server.close();
				for (const socket of sockets) {
					socket.destroy();
				}
			}
		},
		async close() {
			agent.destroy();
			server.closeAllConnections();
			await new Promise(resolve => {
				server.close(resolve);
			});
		},
	};
}
