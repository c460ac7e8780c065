/**
 * What a faulty backend server sends beside an answer or in its place, by name.
 *
 * @module
 */
import {type ServerResponse} from 'node:http';
import {type Socket} from 'node:net';
import {platformHeaders} from '../../../platform/platform-headers.js';

/** An answer that a server is about to send, and what it can do instead. */
export type Sending = {
	readonly response: ServerResponse;
	readonly socket: Socket;
	readonly runId: string;
	readonly status: number;
	readonly body: string;
	/** Sends the answer as a server without a fault does. */
	readonly sendWhole: () => void;
	/** Records that the server sent the answer, without sending anything. */
	readonly recordWhole: () => void;
	/** Sends bytes right before the next answer on this connection. */
	readonly sendBeforeNext: (bytes: string) => void;
	/** Records that the server gave the request up without a whole answer. */
	readonly giveUp: () => void;
	/** Records that the server gave the request up, and closes or resets the connection. */
	readonly breakOff: (how: 'close' | 'reset') => void;
};

/** A fault of single answers. */
export type AnswerFault = {
	/** One of this many answers is sent with the fault. */
	readonly oneIn: number;
	/** Whether the server answers an upload before it has read the body. Only uploads have such a fault. */
	readonly isEarly?: boolean;
	readonly send: (sending: Sending) => void;
};

/** Time between an answer and bytes after it: long enough that they come in a packet of their own. */
const afterAnswerMs = 3;

/** Bytes that are no response. */
const strayBytes = 'qpwoeiruty 5521 0x7f\r\nalskdjf\r\n\r\n';

const createHead = ({runId, status}: Sending): string => `HTTP/1.1 ${status} OK\r\n${platformHeaders.callId}: ${runId}\r\n${platformHeaders.signature}: sig.${runId}\r\n`;

const createCopy = (sending: Sending): string => `${createHead(sending)}content-length: ${sending.body.length}\r\n\r\n${sending.body}`;

const createCopyWithoutId = ({status, body}: Sending): string => `HTTP/1.1 ${status} OK\r\ncontent-length: ${body.length}\r\n\r\n${body}`;

/** The first half of an answer, which ends within its body. */
const createHalf = (sending: Sending): string => createCopy(sending).slice(0, -Math.ceil(sending.body.length / 2));

const createUnframed = (sending: Sending): string => `${createHead(sending)}\r\n${sending.body}`;

function sendWholeThen(createBytes: (sending: Sending) => string): AnswerFault['send'] {
	return sending => {
		sending.sendWhole();
		setTimeout(() => {
			if (sending.socket.writable) {
				sending.socket.write(createBytes(sending));
			}
		}, afterAnswerMs);
	};
}

function sendWholeAndBeforeNext(createBytes: (sending: Sending) => string): AnswerFault['send'] {
	return sending => {
		sending.sendWhole();
		sending.sendBeforeNext(createBytes(sending));
	};
}

function sendAndBreakOff(createBytes: (sending: Sending) => string, how: 'close' | 'reset'): AnswerFault['send'] {
	return sending => {
		sending.socket.write(createBytes(sending));
		setTimeout(() => {
			sending.breakOff(how);
		}, afterAnswerMs);
	};
}

/** Faults that leave the answer whole. */
const wholeAnswerFaults = {
	stray: {oneIn: 30, send: sendWholeThen(() => strayBytes)},
	'stray-next': {oneIn: 30, send: sendWholeAndBeforeNext(() => strayBytes)},
	'copy-soon': {oneIn: 30, send: sendWholeThen(createCopy)},
	'copy-without-id': {oneIn: 30, send: sendWholeAndBeforeNext(createCopyWithoutId)},
	'two-copies': {oneIn: 30, send: sendWholeAndBeforeNext(sending => createCopy(sending).repeat(2))},
	unframed: {
		oneIn: 15,
		send({socket, recordWhole, ...rest}: Sending): void {
			recordWhole();
			socket.end(createUnframed({socket, recordWhole, ...rest}));
		},
	},
	early: {
		oneIn: 2,
		isEarly: true,
		send({sendWhole}: Sending): void {
			sendWhole();
		},
	},
} as const satisfies Readonly<Record<string, AnswerFault>>;

/** Faults after which the caller cannot get the answer. */
const brokenAnswerFaults = {
	cut: {oneIn: 25, send: sendAndBreakOff(createHalf, 'close')},
	'cut-reset': {oneIn: 25, send: sendAndBreakOff(createHalf, 'reset')},
	garbage: {oneIn: 25, send: sendAndBreakOff(() => strayBytes, 'close')},
	'garbage-open': {
		oneIn: 25,
		send({socket, giveUp}: Sending): void {
			giveUp();
			socket.write(strayBytes);
		},
	},
	spoiled: {
		oneIn: 25,
		send({socket, giveUp, ...rest}: Sending): void {
			giveUp();
			socket.write(createCopy({socket, giveUp, ...rest}).replace(/content-length: \d+/u, 'content-length: 1x'));
		},
	},
	'unframed-reset': {oneIn: 25, send: sendAndBreakOff(createUnframed, 'reset')},
	lost: {
		oneIn: 25,
		send({breakOff}: Sending): void {
			breakOff('close');
		},
	},
	'lost-reset': {
		oneIn: 20,
		send({breakOff}: Sending): void {
			breakOff('reset');
		},
	},
	// Nothing is recorded: to its node, a server that stays silent is at work.
	'lost-silent': {oneIn: 40, send: () => undefined},
} as const satisfies Readonly<Record<string, AnswerFault>>;

/** All faults of answers, by name. */
export const answerFaults: Readonly<Record<string, AnswerFault>> = {...wholeAnswerFaults, ...brokenAnswerFaults};
