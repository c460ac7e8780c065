/**
 * Takes what the backend server beside this node says of itself.
 *
 * @module
 */
import {
	createServer, type IncomingMessage, type Server, type ServerResponse,
} from 'node:http';
import {Buffer} from 'node:buffer';
import {ok, type Result} from 'neverthrow';
import {readBody} from '../forwarding/read-body.js';
import {type AnnouncementRefusal} from '../local-server/announcement-refusal.js';
import {type ServerAnnouncement, type ServerLeave} from '../local-server/local-server.js';
import {type RefusalCause} from '../timeline/mesh-log.js';
import {type RefusalLog} from '../timeline/refusal-log.js';

/** A call of a backend server. @internal */
export type ServerCall =
	| {readonly type: 'announce'; readonly announcement: ServerAnnouncement}
	| {readonly type: 'leave'; readonly leave: ServerLeave};

/** @internal */
export type AnnouncementContext = {
	/** Decodes a call; `undefined` if there is no such call. */
	readonly decode: (method: string, target: string, body: string) => Result<ServerCall | undefined, AnnouncementRefusal>;
	/** Takes a call in, or says why it is not. */
	readonly handleCall: (call: ServerCall) => Result<undefined, AnnouncementRefusal>;
	readonly refusals: RefusalLog;
};

type CallOutcome =
	| {readonly type: 'taken'}
	| {readonly type: 'no-such-call'}
	| {readonly type: 'refused'; readonly cause: RefusalCause; readonly reason: string};

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
	const {decode, handleCall, refusals} = context;

	const refuse = (response: ServerResponse, place: string, cause: RefusalCause, reason: string): void => {
		refusals.record({
			kind: 'announcement-refused', cause, place, reason,
		});
		answer(response, 400, JSON.stringify({error: reason}));
	};

	const apply = (request: IncomingMessage, body: string): CallOutcome => {
		try {
			const outcome = decode(request.method ?? 'GET', request.url ?? '/', body)
				.andThen((call): Result<CallOutcome, AnnouncementRefusal> => call === undefined ? ok({type: 'no-such-call'}) : handleCall(call).map(() => ({type: 'taken'})));
			return outcome.match(taken => taken, ({cause, text}) => ({type: 'refused', cause, reason: text}));
		} catch (error) {
			// What nobody foresaw in a call must not end the node, and must not be acknowledged.
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

		// It takes effect before it is acknowledged: whoever reads the answer can rely on it.
		const outcome = apply(request, body);
		switch (outcome.type) {
			case 'taken': {
				answer(response, 200, '{}');
				break;
			}

			case 'no-such-call': {
				answer(response, 404, JSON.stringify({error: 'no such call'}));
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
