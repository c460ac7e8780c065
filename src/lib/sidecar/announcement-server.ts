/**
 * HTTP server for the announcements and leaves of the backend server beside
 * this node.
 *
 * @module
 */
import {
	createServer, type IncomingMessage, type Server, type ServerResponse,
} from 'node:http';
import {Buffer} from 'node:buffer';
import {ok, ResultAsync, type Result} from 'neverthrow';
import {readBody} from '../forwarding/read-body.js';
import {type AnnouncementRefusal} from '../local-server/announcement-refusal.js';
import {type ServerAnnouncement, type ServerLeave} from '../local-server/local-server.js';
import {type RefusalCause} from '../timeline/mesh-log.js';
import {type RefusalLog} from '../timeline/refusal-log.js';

/** A message of the backend server to its node. @internal */
export type ServerMessage =
	| {readonly type: 'announce'; readonly announcement: ServerAnnouncement}
	| {readonly type: 'leave'; readonly leave: ServerLeave};

/** @internal */
export type AnnouncementContext = {
	/** Decodes a message; yields `undefined` if there is no such method and path. */
	readonly decode: (method: string, target: string, body: string) => Result<ServerMessage | undefined, AnnouncementRefusal>;
	/** Applies a message, or returns why it is refused. Resolves once the message may be acknowledged. */
	readonly handleMessage: (message: ServerMessage) => Promise<Result<undefined, AnnouncementRefusal>>;
	readonly refusals: RefusalLog;
};

type MessageOutcome =
	| {readonly type: 'taken'}
	| {readonly type: 'no-such-call'}
	| {readonly type: 'refused'; readonly cause: RefusalCause; readonly reason: string};

/** An announcement is a few hundred bytes. */
const maxBodyBytes = 16_384;

function sendResponse(response: ServerResponse, status: number, body: string): void {
	response.writeHead(status, {'content-type': 'application/json', 'content-length': Buffer.byteLength(body)});
	response.end(body);
}

/**
 * @param context - Decodes and applies messages, and records refusals.
 * @returns The server, not listening yet.
 * @internal
 */
export function createAnnouncementServer(context: AnnouncementContext): Server {
	const {decode, handleMessage, refusals} = context;

	const refuse = (response: ServerResponse, place: string, cause: RefusalCause, reason: string): void => {
		refusals.record({
			kind: 'announcement-refused', cause, place, reason,
		});
		sendResponse(response, cause === 'not-replicated' ? 503 : 400, JSON.stringify({error: reason}));
	};

	const applyDecoded = async (message: ServerMessage | undefined): Promise<Result<MessageOutcome, AnnouncementRefusal>> => {
		if (message === undefined) {
			return ok({type: 'no-such-call'});
		}

		const applied = await handleMessage(message);
		return applied.map(() => ({type: 'taken'}));
	};

	const apply = async (request: IncomingMessage, body: string): Promise<MessageOutcome> => {
		try {
			const outcome = await decode(request.method ?? 'GET', request.url ?? '/', body).asyncAndThen(message => new ResultAsync(applyDecoded(message)));
			return outcome.match(taken => taken, ({cause, text}) => ({type: 'refused', cause, reason: text}));
		} catch (error) {
			// An unexpected exception must neither terminate the node nor acknowledge the message.
			return {type: 'refused', cause: 'unreadable', reason: (error as Error).message};
		}
	};

	const handle = async (request: IncomingMessage, response: ServerResponse): Promise<void> => {
		let body: string;
		try {
			body = Buffer.from(await readBody(request, maxBodyBytes)).toString();
		} catch (error) {
			refuse(response, request.url ?? '/', 'unreadable', (error as Error).message);
			return;
		}

		// The message takes effect, and outlasts a restart of this node, before the response is sent, so that the backend server can rely on the acknowledgement.
		const outcome = await apply(request, body);
		switch (outcome.type) {
			case 'taken': {
				sendResponse(response, 200, '{}');
				break;
			}

			case 'no-such-call': {
				sendResponse(response, 404, JSON.stringify({error: 'no such call'}));
				break;
			}

			case 'refused': {
				refuse(response, request.url ?? '/', outcome.cause, outcome.reason);
				break;
			}
		}
	};

	return createServer((request, response) => {
		void handle(request, response);
	});
}
