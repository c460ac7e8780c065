/**
 * Clients that do not behave: many connections that send and do not read, or begin and do not end.
 *
 * @module
 */
import {Buffer} from 'node:buffer';
import {connect, type Socket} from 'node:net';
import {type TestContext} from 'node:test';
import {setTimeout as sleep} from 'node:timers/promises';

export type Crowd = {
	/** Waits until the crowd has sent what is accepted of it, and nothing has moved for a while. */
	readonly settle: (readProgress: () => number) => Promise<void>;
	/** Returns how many connections the other side has closed. */
	readonly countClosed: () => number;
};

/** What a crowd does. */
export type CrowdPlan = {
	readonly address: string;
	readonly connections: number;
	/** Returns what a connection sends, one text after the other. */
	readonly createTexts: (connection: number) => Iterable<string>;
	/** Whether it reads and drops what it gets, so that it can go on without an end; false if omitted. */
	readonly isReading?: boolean;
	/** How long a connection pauses after each chunk that it reads, in milliseconds; without it, it goes on at once if it reads. */
	readonly getReadPauseMs?: (connection: number) => number;
};

const settlePollMs = 250;

/** Polls in a row without a change after which a crowd has settled. */
const quietPolls = 6;

/** A crowd that still moves after this many polls is judged as it stands. */
const maxPolls = 120;

/** Texts sent in one write. */
const textsPerWrite = 50;

function sendAll(socket: Socket, texts: Iterable<string>): void {
	const iterator = texts[Symbol.iterator]();
	const sendMore = (): void => {
		let mayContinue = true;
		while (mayContinue && !socket.destroyed) {
			let batch = '';
			for (let index = 0; index < textsPerWrite; index++) {
				const next = iterator.next();
				if (next.done === true) {
					break;
				}

				batch += next.value;
			}

			if (batch === '') {
				return;
			}

			mayContinue = socket.write(batch, 'latin1');
		}
	};

	socket.on('drain', sendMore);
	sendMore();
}

function readSlowly(socket: Socket, pauseMs: number): void {
	socket.on('data', () => {
		socket.pause();
		setTimeout(() => {
			socket.resume();
		}, pauseMs);
	});
}

/**
 * Opens the connections of a crowd, which are closed after the test.
 *
 * @param context - The test.
 * @param plan - What the crowd does.
 * @returns The crowd.
 */
export function openCrowd(context: TestContext, {address, connections, createTexts, isReading = false, getReadPauseMs}: CrowdPlan): Crowd {
	const [host, port] = address.split(':');
	let closed = 0;
	const sockets = Array.from({length: connections}, (_, index) => {
		const socket = connect({host, port: Number(port)});
		if (getReadPauseMs !== undefined) {
			readSlowly(socket, getReadPauseMs(index));
		} else if (isReading) {
			socket.resume();
		} else {
			socket.pause();
		}

		socket.on('error', () => undefined);
		socket.once('close', () => {
			closed++;
		});
		socket.once('connect', () => {
			sendAll(socket, createTexts(index));
		});
		return socket;
	});
	context.after(() => {
		for (const socket of sockets) {
			socket.destroy();
		}
	});
	return {
		async settle(readProgress) {
			let quiet = 0;
			let before = Number.NaN;
			for (let polls = 0; polls < maxPolls && quiet < quietPolls; polls++) {
				await sleep(settlePollMs);
				const written = sockets.reduce((sum, socket) => sum + socket.bytesWritten - socket.writableLength, 0);
				const progress = written + readProgress() + closed;
				quiet = progress === before ? quiet + 1 : 0;
				before = progress;
			}
		},
		countClosed: () => closed,
	};
}

/**
 * @param count - How often the text comes.
 * @param createText - Creates a text.
 * @yields The texts.
 */
export function * createTexts(count: number, createText: () => string): Iterable<string> {
	for (let index = 0; index < count; index++) {
		yield createText();
	}
}

/** @returns A text of this many bytes. */
export const createFiller = (bytes: number): string => Buffer.alloc(bytes, 'x').toString('latin1');
