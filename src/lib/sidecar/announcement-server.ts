/**
 * Takes what the backend server beside this node says of itself.
 *
 * @module
 */
import {
	createServer, type IncomingMessage, type Server, type ServerResponse,
} from 'node:http';
import {Buffer} from 'node:buffer';
import {type Result} from 'neverthrow';
import {readBody} from '../forwarding/read-body.js';
import {type ServerAnnouncement, type ServerLeave} from '../local-server/local-server.js';
import {type MeshLog} from '../timeline/mesh-log.js';

/** A call of a backend server. @internal */
export type ServerCall =
	| {readonly type: 'announce'; readonly announcement: ServerAnnouncement}
	| {readonly type: 'leave'; readonly leave: ServerLeave};

/** @internal */
export type AnnouncementContext = {
	/** Decodes a call; `undefined` if there is no such call. */
	readonly decode: (method: string, target: string, body: string) => Result<ServerCall | undefined, string>;
	readonly handleCall: (call: ServerCall) => void;
	readonly log: MeshLog;
};

/** An announcement is a few hundred bytes. */
const maxBodyBytes = 16_384;

function answer(response: ServerResponse, status: number, body: string): void {
	response.writeHead(status, {'content-type': 'application/json', 'content-length': Buffer.byteLength(body)});
	response.end(body);
}

/**
 * @param context - How calls are decoded and what is told of them.
 * @returns The server, not listening yet.
 * @internal
 */
export function createAnnouncementServer(context: AnnouncementContext): Server {
	const {decode, handleCall, log} = context;

	const refuse = (response: ServerResponse, place: string, reason: string): void => {
		log.record('warn', {kind: 'announcement-refused', place, reason});
		answer(response, 400, JSON.stringify({error: reason}));
	};

	const handle = async (request: IncomingMessage, response: ServerResponse): Promise<void> => {
		const target = request.url ?? '/';
		let body: string;
		try {
			body = Buffer.from(await readBody(request, maxBodyBytes)).toString();
		} catch (error) {
			refuse(response, target, (error as Error).message);
			return;
		}

		const call = decode(request.method ?? 'GET', target, body);
		if (call.isErr()) {
			refuse(response, target, call.error);
			return;
		}

		if (call.value === undefined) {
			answer(response, 404, JSON.stringify({error: 'no such call'}));
			return;
		}

		// It takes effect before it is acknowledged: whoever reads the answer can rely on it.
		handleCall(call.value);
		answer(response, 200, '{}');
	};

	return createServer((request, response) => {
		void handle(request, response);
	});
}
