/**
 * What a request window knows of each connection and of each request on it.
 *
 * @module
 */
import {type IncomingMessage} from 'node:http';
import {type Socket} from 'node:net';
import {type MemoryAccount} from './memory-ledger.js';

/** The place of a request among those of its connection. @internal */
export type RequestTurn = {
	/** Resolves once the request may be handled, with false if its connection closed first; `undefined` if it may be handled now. */
	readonly wait: Promise<boolean> | undefined;
	/** What is held for the client. */
	readonly account: MemoryAccount;
};

/** A request that was read and has not started. @internal */
export type WaitingRequest = {
	readonly turn: WindowTurn;
	readonly resolve: (isOpen: boolean) => void;
};

/** A request whose response is not sent. @internal */
export type WindowTurn = RequestTurn & {
	readonly connection: WindowConnection;
	wait: Promise<boolean> | undefined;
	/** Bytes that the request takes on the heap, without those for its work. */
	readonly requestBytes: number;
	isOpen: boolean;
	isInWork: boolean;
	/** Whether a server works on it. */
	isServed: boolean;
	/** Bytes of its body and its answer. */
	heldBytes: number;
	handlers: Array<() => void> | undefined;
};

/** A connection, with what its client has in work and what is held for it. @internal */
export type WindowConnection = {
	readonly socket: Socket;
	readonly account: MemoryAccount;
	inWork: number;
	/** Requests on which servers work. */
	served: number;
	/** Requests whose responses were sent. */
	answered: number;
	/** In the order of the requests. */
	readonly waiting: WaitingRequest[];
	/** In no order. A list, since a set allocates whenever it becomes empty. */
	readonly open: WindowTurn[];
	/** When its last response was sent, or when it was opened, in milliseconds of the steady clock. */
	idleSince: number;
	dropped: number;
	/** Bytes of heads that have not ended, as of the last check. */
	unfinishedBytes: number;
	/** Bytes written to the client, sent or not, at the last check, and when they or what is unsent last changed, in milliseconds of the steady clock. */
	writtenBytes: number;
	progressAt: number;
	/** Bytes that had arrived when the last request was read. */
	readBytes: number;
	/** Requests that may still start in this iteration of the event loop. */
	startsLeft: number;
	/** Bytes that had arrived when a request last started. */
	startedBytes: number;
	/** Whether it delivered more requests in one read than it may start in one iteration, so that it is read in turns. */
	isAhead: boolean;
	/** Bytes counted for requests whose responses are not sent. */
	answerBytes: number;
};

/** Memory of a request that waits, with its response, on the heap, without the head, in bytes. */
const waitingRequestBytes = 4096;

function countHeadBytes({rawHeaders, url = ''}: IncomingMessage): number {
	let bytes = url.length;
	for (const text of rawHeaders) {
		bytes += text.length;
	}

	return bytes;
}

/**
 * Creates the state of a connection that was just opened.
 *
 * @param socket - The connection.
 * @param account - What is held for its client.
 * @param startsLeft - Requests that may start in one iteration of the event loop.
 * @param now - The current time in milliseconds of the steady clock.
 * @returns The state.
 * @internal
 */
export const createWindowConnection = (socket: Socket, account: MemoryAccount, startsLeft: number, now: number): WindowConnection => ({
	socket, account, inWork: 0, served: 0, answered: 0, waiting: [], open: [], idleSince: now, dropped: 0, unfinishedBytes: 0,
	writtenBytes: 0, progressAt: now, readBytes: 0, answerBytes: 0, startsLeft, startedBytes: 0, isAhead: false,
});

/**
 * Creates the state of a request that was just read.
 *
 * @param connection - Its connection.
 * @param request - The request.
 * @returns The state.
 * @internal
 */
export const createWindowTurn = (connection: WindowConnection, request: IncomingMessage): WindowTurn => ({
	connection, account: connection.account, wait: undefined, requestBytes: waitingRequestBytes + countHeadBytes(request),
	isOpen: true, isInWork: false, isServed: false, heldBytes: 0, handlers: undefined,
});

/**
 * Removes a request from the open ones of its connection.
 *
 * @param turn - The request.
 * @internal
 */
export function removeTurn(turn: WindowTurn): void {
	const {open} = turn.connection;
	const last = open.pop();
	if (last !== undefined && last !== turn) {
		open[open.indexOf(turn)] = last;
	}
}
