/**
 * Callers with the habits of different HTTP libraries: how they write a request,
 * when they end their side of the connection, and how they read the answer.
 *
 * @module
 */
import {connect, type Socket} from 'node:net';
import {setTimeout as sleep} from 'node:timers/promises';

/** How a caller sends a request and reads its answer. What is omitted is as most callers do it. */
export type CallerHabit = {
	readonly name: string;
	/** `GET` if omitted. */
	readonly method?: 'GET' | 'POST' | 'HEAD';
	/** `1.1` if omitted. */
	readonly version?: '1.0' | '1.1';
	/** Header lines besides those of every request. */
	readonly headers?: readonly string[];
	/** Body of the request; none if omitted. */
	readonly body?: string;
	/** How the body is framed: `length` if omitted. */
	readonly framing?: 'length' | 'chunked' | 'trailers';
	/** Whether the target names the scheme and the host. */
	readonly hasAbsoluteTarget?: boolean;
	/** Bytes before the request line. */
	readonly before?: string;
	/** Bytes after the request. */
	readonly after?: string;
	/** Splits the bytes of the request into pieces, each sent in a packet of its own. */
	readonly split?: (text: string) => readonly string[];
	/** Time between two pieces, in milliseconds. */
	readonly pauseMs?: number;
	/** Whether the caller sends the body only after `100 Continue`. */
	readonly waitsForContinue?: boolean;
	/** Whether the caller ends its side of the connection after the request, and reads on. */
	readonly halfCloses?: boolean;
	/** Number of requests that the caller sends in one write; 1 if omitted. */
	readonly requestCount?: number;
	/** How long the caller reads nothing after the request, in milliseconds. */
	readonly readsAfterMs?: number;
};

/** An answer as a caller received it, complete. */
export type HabitAnswer = {
	readonly status: number;
	/** Head in lower case. */
	readonly head: string;
	readonly body: string;
	/** When it was complete, in milliseconds of `performance.now()`. */
	readonly at: number;
};

/** A connection of a caller. */
export type HabitConnection = {
	readonly socket: Socket;
	/** Waits for the next answer. Returns `undefined` if the connection ends without it. */
	readonly readAnswer: (method: string) => Promise<HabitAnswer | undefined>;
	/** Waits for `100 Continue`, an answer or the end of the connection. Returns whether the body may be sent. */
	readonly waitForContinue: () => Promise<boolean>;
	readonly hasEnded: () => boolean;
};

/** What became of a request. Times are in milliseconds of `performance.now()`. */
export type HabitOutcome = {
	readonly habit: CallerHabit;
	readonly id: string;
	readonly target: string;
	/** When the last byte was sent; `undefined` if the connection had ended before, or was never open. */
	readonly sentAt: number | undefined;
	readonly answer: HabitAnswer | undefined;
	/** When the answer was complete, or the connection had ended. */
	readonly endedAt: number;
	/** Position among the requests that were sent in one write. */
	readonly position: number;
	/** From when on the answer could be sent: the last byte was sent and the answer before it was complete. */
	readonly dueAt: number;
};

/** Identifies a request and its route. */
export type HabitRequest = {readonly id: string; readonly target: string; readonly timeLeftMs: number};

/** Takes a complete answer from what was received, or an interim one with a status below 200. Returns `undefined` if it is not complete. */
function takeAnswer(received: string, method: string): {readonly answer: HabitAnswer; readonly rest: string} | undefined {
	const headEnd = received.indexOf('\r\n\r\n');
	if (headEnd === -1) {
		return undefined;
	}

	const head = received.slice(0, headEnd).toLowerCase();
	const status = Number(head.split(' ')[1]);
	const bodyStart = headEnd + 4;
	let bodyEnd = bodyStart;
	if (status >= 200 && method !== 'HEAD') {
		const isChunked = head.includes('\r\ntransfer-encoding: chunked');
		const lastChunk = received.indexOf('\r\n0\r\n\r\n', headEnd + 2);
		bodyEnd = isChunked ? (lastChunk === -1 ? Infinity : lastChunk + 7) : bodyStart + Number(/\r\ncontent-length: (\d+)/.exec(head)?.[1] ?? 0);
	}

	return bodyEnd > received.length
		? undefined
		: {
			answer: {
				status, head, body: received.slice(bodyStart, bodyEnd), at: performance.now(),
			},
			rest: received.slice(bodyEnd),
		};
}

/** Opens a connection. It may be refused, and has ended then. */
export function openHabitConnection(address: string): HabitConnection {
	const [host, port] = address.split(':');
	const socket = connect({
		host, port: Number(port), noDelay: true, allowHalfOpen: true,
	});
	let received = '';
	let isEnded = false;
	let answers = 0;
	let hasContinued = false;
	const waiting = new Set<() => void>();
	const wake = (): void => {
		for (const resolve of waiting) {
			resolve();
		}

		waiting.clear();
	};

	socket.setEncoding('latin1');
	socket.on('data', (text: string) => {
		received += text;
		wake();
	});
	const handleEnd = (): void => {
		isEnded = true;
		socket.destroy();
		wake();
	};

	socket.once('end', handleEnd);
	socket.once('close', handleEnd);
	socket.on('error', () => undefined);
	const waitForInput = async (): Promise<void> => new Promise(resolve => {
		waiting.add(resolve);
	});
	const readAnswer = async (method: string): Promise<HabitAnswer | undefined> => {
		for (;;) {
			const taken = takeAnswer(received, method);
			received = taken?.rest ?? received;
			hasContinued ||= taken?.answer.status === 100;
			if (taken !== undefined && taken.answer.status >= 200) {
				answers++;
				wake();
				return taken.answer;
			}

			if (taken === undefined && isEnded) {
				return undefined;
			}

			if (taken === undefined) {
				await waitForInput();
			} else {
				wake();
			}
		}
	};

	return {
		socket,
		readAnswer,
		async waitForContinue() {
			const answersBefore = answers;
			hasContinued = false;
			while (!hasContinued && answers === answersBefore && !isEnded) {
				await waitForInput();
			}

			return hasContinued;
		},
		hasEnded: () => isEnded,
	};
}

function encodeBody({body = '', framing = 'length'}: CallerHabit): string {
	if (framing === 'length') {
		return body;
	}

	const middle = Math.ceil(body.length / 2);
	const chunks = [body.slice(0, middle), body.slice(middle)].map(part => `${part.length.toString(16)}\r\n${part}\r\n`).join('');
	return `${chunks}0\r\n${framing === 'trailers' ? 'x-checksum: 1\r\n' : ''}\r\n`;
}

function encodeHead(habit: CallerHabit, {id, target, timeLeftMs}: HabitRequest): string {
	const {method = 'GET', version = '1.1', headers = [], body, framing = 'length', hasAbsoluteTarget = false, waitsForContinue = false} = habit;
	const lines = [
		`${method} ${hasAbsoluteTarget ? 'http://mesh.example' : ''}${target} HTTP/${version}`,
		'Host: mesh.example',
		`Stonemoor-Attempt-Id: ${id}`,
		`Stonemoor-Deadline-Ms: ${timeLeftMs}`,
		...headers,
		...body === undefined ? [] : [framing === 'length' ? `Content-Length: ${body.length}` : 'Transfer-Encoding: chunked'],
		...framing === 'trailers' ? ['Trailer: x-checksum'] : [],
		...waitsForContinue ? ['Expect: 100-continue'] : [],
	];
	return `${habit.before ?? ''}${lines.join('\r\n')}\r\n\r\n`;
}

/** Sends pieces while the connection is open. Returns when the last one was sent; `undefined` if the connection ended before. */
async function sendPieces({socket, hasEnded}: HabitConnection, pieces: readonly string[], pauseMs: number): Promise<number | undefined> {
	for (const [index, piece] of pieces.entries()) {
		if (index > 0) {
			await sleep(pauseMs);
		}

		if (hasEnded()) {
			return undefined;
		}

		socket.write(piece, 'latin1');
	}

	return performance.now();
}

async function sendRequests(connection: HabitConnection, habit: CallerHabit, requests: readonly HabitRequest[]): Promise<number | undefined> {
	const {split = text => [text], pauseMs = 1} = habit;
	const after = habit.after ?? '';
	if (habit.waitsForContinue !== true) {
		return sendPieces(connection, split(requests.map(request => `${encodeHead(habit, request)}${encodeBody(habit)}`).join('') + after), pauseMs);
	}

	const continued = connection.waitForContinue();
	await sendPieces(connection, [encodeHead(habit, requests[0]!)], pauseMs);
	return await continued ? sendPieces(connection, split(encodeBody(habit) + after), pauseMs) : undefined;
}

/**
 * Sends requests as a caller with a habit does, and reads their answers.
 *
 * @param connection - An open connection, or one that is being opened.
 * @param habit - The habit.
 * @param requests - As many requests as the caller sends in one write.
 * @returns What became of them.
 */
export async function sendAsHabit(connection: HabitConnection, habit: CallerHabit, requests: readonly HabitRequest[]): Promise<readonly HabitOutcome[]> {
	const {method = 'GET', halfCloses = false, readsAfterMs = 0} = habit;
	const {socket, readAnswer} = connection;
	if (socket.connecting) {
		await new Promise<void>(resolve => {
			socket.once('connect', resolve);
			socket.once('close', () => {
				resolve();
			});
		});
	}

	const sending = sendRequests(connection, habit, requests);
	const reading = (async (): Promise<ReadonlyArray<HabitAnswer | undefined>> => {
		const answers: Array<HabitAnswer | undefined> = [];
		for (const _ of requests) {
			answers.push(await readAnswer(method));
		}

		return answers;
	})();
	const sentAt = await sending;
	if (halfCloses && sentAt !== undefined) {
		socket.end();
	}

	if (readsAfterMs > 0) {
		socket.pause();
		await sleep(readsAfterMs);
		socket.resume();
	}

	const answers = await reading;
	return requests.map(({id, target}, position) => ({
		habit, id, target, sentAt, answer: answers[position], endedAt: answers[position]?.at ?? performance.now(), position, dueAt: Math.max(sentAt ?? 0, answers[position - 1]?.at ?? 0),
	}));
}
