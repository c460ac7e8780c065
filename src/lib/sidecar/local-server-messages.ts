/**
 * Takes in what the backend server beside this node says of itself, and refuses what others say in its place.
 *
 * @module
 */
import {ok, type Result} from 'neverthrow';
import {readSteadyMs} from '../common/clock.js';
import {type ServerLifetime} from '../common/server-lifetime.js';
import {type LocalGate} from '../forwarding/local-gate.js';
import {type CallRefusal} from '../local-server/call-refusal.js';
import {checkService} from '../local-server/check-service.js';
import {type ServerAnnouncement} from '../local-server/local-server.js';
import {createStartCheck} from '../local-server/start-check.js';
import {type Peer} from '../peers/peer-table.js';
import {type AnnouncementContext, type ServerMessage} from './announcement-server.js';

/** @internal */
export type LocalServerMessageContext = {
	/** Decodes a call of a backend server; `undefined` if there is no such call. */
	readonly decode: AnnouncementContext['decode'];
	/** The service that the settings name. */
	readonly service: string;
	readonly listPeers: () => Iterable<Peer>;
	readonly gate: Pick<LocalGate, 'announce' | 'leave'>;
};

/** @internal */
export type LocalServerMessageHandler = Pick<AnnouncementContext, 'decode' | 'handleMessage'>;

function * listLifetimes(peers: Iterable<Peer>): Generator<ServerLifetime> {
	for (const {report: {server}} of peers) {
		if (server !== undefined) {
			yield server.lifetime;
		}
	}
}

/**
 * @param context - What calls are checked by, and who is told of them.
 * @returns The calls that speak for the server beside this node.
 * @internal
 */
export function createLocalServerMessageHandler({decode, service, listPeers, gate}: LocalServerMessageContext): LocalServerMessageHandler {
	const startCheck = createStartCheck(() => listLifetimes(listPeers()));

	const check = (announcement: ServerAnnouncement): Result<ServerAnnouncement, CallRefusal> => checkService(announcement, service)
		.andThen(own => startCheck.check(own, readSteadyMs()));

	return {
		decode: (method, target, body) => decode(method, target, body)
			.andThen((message): Result<ServerMessage | undefined, CallRefusal> => message?.type === 'announce' ? check(message.announcement).map(() => message) : ok(message)),
		handleMessage(message) {
			switch (message.type) {
				case 'announce': {
					gate.announce(message.announcement);
					return ok(undefined);
				}

				case 'leave': {
					return gate.leave(message.leave);
				}
			}
		},
	};
}
