/**
 * A backend server that makes nested calls through the node beside it, and reports
 * its load in each response.
 *
 * @module
 */
import {Buffer} from 'node:buffer';
import {
	Agent, createServer, type IncomingMessage, type ServerResponse,
} from 'node:http';
import {setTimeout as sleep} from 'node:timers/promises';
import {sendCall} from '../../platform/test-mesh.js';
import {getRequestKind, type RequestKind} from '../../bench/request-cost/load-pattern.js';
import {getHeader} from './apply-behaviour.js';

/** A running backend server. */
export type CallingServer = {
	readonly id: string;
	/** `IP:PORT` at which it listens. */
	readonly address: string;
	readonly close: () => Promise<void>;
};

export type CallingServerOptions = {
	readonly id: string;
	readonly host: string;
	readonly port: number;
	readonly slots: number;
	/** `IP:PORT` at which the node beside the server accepts calls. */
	readonly callers: string;
	/** Returns a random number from 0 to 1. */
	readonly random: () => number;
};

/** Returns the kind of a request, which is the first segment of its path. */
const getKind = (target: string): RequestKind => getRequestKind(target.split('/')[1] ?? '');

/**
 * Starts a backend server.
 *
 * @param options - Its address, slots and the node beside it.
 * @returns The server, once it listens.
 */
export async function startCallingServer({id, host, port, slots, callers, random}: CallingServerOptions): Promise<CallingServer> {
	const agent = new Agent({keepAlive: true});
	const waiting: Array<() => void> = [];
	let running = 0;

	const takeSlot = async (): Promise<void> => {
		if (running < slots) {
			running++;
			return;
		}

		await new Promise<void>(resolve => {
			waiting.push(resolve);
		});
	};

	const releaseSlot = (): void => {
		const startNext = waiting.shift();
		if (startNext === undefined) {
			running--;
		} else {
			startNext();
		}
	};

	const callNested = async (kind: RequestKind, endsAt: number): Promise<boolean> => {
		const {nested} = kind;
		if (nested === undefined || random() >= nested.share) {
			return true;
		}

		const callOnce = async (): Promise<boolean> => {
			const {status} = await sendCall(callers, `/${nested.kind}/x`, {agent, timeLeftMs: Math.max(1, Math.round(endsAt - performance.now()))});
			return status === 200;
		};

		if (nested.areParallel) {
			const results = await Promise.all(Array.from({length: nested.count}, callOnce));
			return results.every(Boolean);
		}

		for (let made = 0; made < nested.count; made++) {
			if (!await callOnce()) {
				return false;
			}
		}

		return true;
	};

	const sendResponse = (request: IncomingMessage, response: ServerResponse, status: number, bytes: number): void => {
		const callId = getHeader(request, 'stonemoor-attempt-id');
		response.writeHead(status, {
			'content-length': bytes, 'content-type': 'application/octet-stream', 'stonemoor-attempt-id': callId, 'stonemoor-response-signature': `signature.${callId}`,
			'stonemoor-server-load': `${running},${waiting.length},${slots}`,
		});
		response.end(Buffer.alloc(bytes, 'x'));
	};

	const handle = async (request: IncomingMessage, response: ServerResponse): Promise<void> => {
		const arrivedAt = performance.now();
		request.resume();
		const kind = getKind(request.url ?? '');
		await takeSlot();
		try {
			await sleep(kind.workMs);
			const isAnswered = await callNested(kind, arrivedAt + Number(getHeader(request, 'stonemoor-deadline-ms')));
			sendResponse(request, response, isAnswered ? 200 : 500, isAnswered ? kind.responseBytes : 0);
		} finally {
			releaseSlot();
		}
	};

	const server = createServer((request, response) => {
		void handle(request, response);
	});
	server.keepAliveTimeout = 10_000;
	await new Promise<void>(resolve => {
		server.listen(port, host, resolve);
	});
	return {
		id,
		address: `${host}:${port}`,
		async close() {
			agent.destroy();
			server.closeAllConnections();
			await new Promise(resolve => {
				server.close(resolve);
			});
		},
	};
}
