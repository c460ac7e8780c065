/**
 * How a backend server of a loaded mesh answers: some responses are sent a second time, and others with the faults that
 * the server has at present.
 *
 * @module
 */
import {Buffer} from 'node:buffer';
import {type IncomingMessage, type ServerResponse} from 'node:http';
import {type Socket} from 'node:net';
import {platformHeaders} from '../../platform/platform-headers.js';
import {findClass} from './loaded-config.js';
import {type LoadedRun} from './loaded-run.js';
import {answerFaults} from './troubles/answer-faults.js';

/** What the answers depend on. */
export type ServerAnswersContext = {
	readonly random: () => number;
	/** Names of the faults of answers that the server has at present. */
	readonly answerFaultNames: ReadonlySet<string>;
	/** Returns the load that responses state. */
	readonly describeLoad: () => string;
	readonly isLeaving: () => boolean;
	readonly isCrashed: () => boolean;
};

export type ServerAnswers = {
	/** Answers a request, unless its connection is closed, or it has been answered or abandoned. */
	readonly answer: (response: ServerResponse, run: LoadedRun, status: number, bytes?: number) => void;
	/** Answers an upload before its body is read. Returns whether the server has such a fault at present. */
	readonly answerEarly: (request: IncomingMessage, response: ServerResponse, run: LoadedRun) => boolean;
	/** Refuses a request that was not executed. */
	readonly refuse: (response: ServerResponse, runId: string, status: number) => void;
	/** Records that the server gives a request up. */
	readonly giveUp: (run: LoadedRun) => void;
};

/** One of this many responses is sent again, as late as before the next response on its connection. */
const repeatedOneIn = 30;

/** Status of an answer that a server sends before it has read the body, and how much later it reads on. */
const earlyStatus = 413;
const readsOnAfterMs = 200;

/**
 * Creates the answers of a server.
 *
 * @param context - What they depend on.
 * @returns The functions that answer.
 */
export function createServerAnswers({random, answerFaultNames, describeLoad, isLeaving, isCrashed}: ServerAnswersContext): ServerAnswers {
	/** What is sent before the next response on a connection. */
	const copies = new WeakMap<Socket, string>();
	/** Requests whose answer was decided on, also if nothing is sent. */
	const decided = new WeakSet<LoadedRun>();

	const isOver = (run: LoadedRun): boolean =>
		isCrashed() || run.endedAt !== undefined || run.brokenOffAt !== undefined || run.abandonedAt !== undefined || decided.has(run);

	/** Picks one of the faults that the server has, if this answer gets one. */
	const pickFault = (isEarly: boolean): string | undefined => [...answerFaultNames].find(name => {
		const {oneIn, isEarly: isForEarly = false} = answerFaults[name]!;
		return isForEarly === isEarly && Math.floor(random() * oneIn) === 0;
	});

	const recordAnswer = (run: LoadedRun, status: number): void => {
		run.endedAt = Date.now();
		run.status = status;
	};

	const giveUp = (run: LoadedRun): void => {
		if (run.endedAt === undefined && run.brokenOffAt === undefined) {
			run.abandonedAt ??= Date.now();
		}
	};

	const sendWhole = (response: ServerResponse, run: LoadedRun, status: number, body: string): void => {
		recordAnswer(run, status);
		const {socket} = response;
		const copy = socket === null ? undefined : copies.get(socket);
		if (socket !== null && copy !== undefined) {
			copies.delete(socket);
			socket.write(copy);
		}

		if (socket !== null && Math.floor(random() * repeatedOneIn) === 0) {
			copies.set(socket, `HTTP/1.1 ${status} OK\r\ncontent-length: ${body.length}\r\n${platformHeaders.callId}: ${run.id}\r\n${platformHeaders.signature}: sig.${run.id}\r\n\r\n${body}`);
		}

		response.writeHead(status, {
			'content-length': Buffer.byteLength(body), [platformHeaders.callId]: run.id, [platformHeaders.signature]: `sig.${run.id}`, [platformHeaders.serverLoad]: describeLoad(),
			...isLeaving() ? {connection: 'close'} : {},
		});
		response.end(body);
	};

	const answer = (response: ServerResponse, run: LoadedRun, status: number, bytes = 0, isEarly = false): void => {
		if (isOver(run)) {
			return;
		}

		const body = `answer ${run.id} ${bytes}`;
		const {socket} = response;
		const name = run.answerFault ?? pickFault(isEarly);
		if (name === undefined || socket === null) {
			sendWhole(response, run, status, body);
			return;
		}

		run.answerFault = name;
		decided.add(run);
		answerFaults[name]!.send({
			response, socket, runId: run.id, status, body,
			sendWhole() {
				sendWhole(response, run, status, body);
			},
			recordWhole() {
				recordAnswer(run, status);
			},
			sendBeforeNext(bytesBeforeNext) {
				copies.set(socket, bytesBeforeNext);
			},
			giveUp() {
				giveUp(run);
			},
			breakOff(how) {
				giveUp(run);
				if (how === 'reset') {
					socket.resetAndDestroy();
				} else {
					socket.destroySoon();
				}
			},
		});
	};

	const answerEarly = (request: IncomingMessage, response: ServerResponse, run: LoadedRun): boolean => {
		const name = findClass(run.target).type === 'upload' ? pickFault(true) : undefined;
		if (name === undefined) {
			return false;
		}

		run.answerFault = name;
		// A listener for the bytes keeps the server from reading them right after the answer.
		request.on('readable', () => undefined);
		answer(response, run, earlyStatus, 0, true);
		setTimeout(() => {
			request.removeAllListeners('readable');
			request.resume();
		}, readsOnAfterMs);
		return true;
	};

	const refuse = (response: ServerResponse, runId: string, status: number): void => {
		response.writeHead(status, {
			'content-length': 0, [platformHeaders.callId]: runId, [platformHeaders.notRun]: '1', [platformHeaders.serverLoad]: describeLoad(),
		});
		response.end();
	};

	return {
		answer, answerEarly, refuse, giveUp,
	};
}
