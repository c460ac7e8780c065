/**
 * A stand-in for a client on a machine of the platform.
 *
 * @module
 */
import {request as openRequest} from 'node:http';
import {type CaseRecord} from './record.js';
import {ports} from './settings.js';

export type ClientRequest = {
	/** Loopback address of the machine of the client. */
	readonly machine: string;
	readonly call: string;
	readonly method: string;
	readonly host: string;
	readonly path: string;
	readonly deadlineMs: number;
	readonly body?: Uint8Array;
	readonly headers?: Readonly<Record<string, string>>;
	/** The client closes its connection this long after it has sent the request, in milliseconds; `undefined` if it waits for its deadline. */
	readonly leaveAfterMs?: number | undefined;
};

export type ClientOutcome = {
	readonly call: string;
	/** `undefined` if the connection ended without a complete answer. */
	readonly status: number | undefined;
	readonly isSigned: boolean;
	readonly body: string;
	/** How the connection ended, if there is no answer. */
	readonly end: 'answered' | 'closed' | 'left' | 'deadline';
	/** When the last byte of the request was handed to the system, and when the outcome was known, in milliseconds since the start of the case. */
	readonly sentAt: number;
	readonly endedAt: number;
};

/**
 * Sends a request on a new connection, and waits for its outcome.
 *
 * @param options - The request.
 * @param record - The record of the case.
 * @returns The outcome; never rejects.
 */
export async function sendRequest(options: ClientRequest, record: CaseRecord): Promise<ClientOutcome> {
	const {machine, call, method, host, path, deadlineMs, body, headers = {}, leaveAfterMs} = options;
	return new Promise(resolve => {
		let sentAt = record.getTime();
		let isDone = false;
		let status: number | undefined;
		let isSigned = false;
		const outgoing = openRequest({
			host: machine, port: ports.outbound, method, path, agent: false, headers: {
				host, 'stonemoor-attempt-id': call, 'stonemoor-deadline-ms': String(deadlineMs), ...body === undefined ? {} : {'content-length': body.length}, ...headers,
			},
		});
		const finish = (end: ClientOutcome['end'], text: string): void => {
			if (isDone) {
				return;
			}

			isDone = true;
			clearTimeout(timer);
			const isAnswered = end === 'answered';
			record.write(`client: ${call} ${isAnswered ? `is answered ${status}` : end}`);
			resolve({
				call, status: isAnswered ? status : undefined, isSigned: isAnswered && isSigned, body: text, end, sentAt, endedAt: record.getTime(),
			});
		};

		const leave = (end: 'left' | 'deadline'): void => {
			finish(end, '');
			outgoing.destroy();
		};

		outgoing.once('error', () => {
			finish('closed', '');
		});
		outgoing.once('response', incoming => {
			status = incoming.statusCode;
			isSigned = incoming.headers['stonemoor-response-signature'] !== undefined;
			let text = '';
			incoming.setEncoding('latin1');
			incoming.on('data', (piece: string) => {
				text += piece;
			});
			incoming.once('error', () => {
				finish('closed', text);
			});
			incoming.once('end', () => {
				finish(incoming.complete ? 'answered' : 'closed', text);
			});
		});
		outgoing.once('finish', () => {
			sentAt = record.getTime();
			if (leaveAfterMs !== undefined) {
				setTimeout(() => {
					leave('left');
				}, leaveAfterMs);
			}
		});
		record.write(`client on ${machine} sends ${call}: ${method} ${path}${body === undefined ? '' : `, ${body.length} bytes`}`);
		const timer = setTimeout(() => {
			leave('deadline');
		}, deadlineMs);
		outgoing.end(body);
	});
}

/**
 * The readiness check of the platform.
 *
 * @param machine - Loopback address of a machine.
 * @returns Whether its node says that it is ready.
 */
export async function checkReadiness(machine: string): Promise<boolean> {
	return new Promise(resolve => {
		const outgoing = openRequest({
			host: machine, port: ports.readiness, path: '/v1/ready', agent: false, timeout: 1000,
		}, incoming => {
			incoming.resume();
			resolve(incoming.statusCode === 200);
		});
		outgoing.once('error', () => {
			resolve(false);
		});
		outgoing.once('timeout', () => {
			outgoing.destroy();
		});
		outgoing.end();
	});
}
