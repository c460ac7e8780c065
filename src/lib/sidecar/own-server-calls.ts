/**
 * Takes in what the backend server beside this node says of itself, and refuses what others say in its place.
 *
 * @module
 */
import {ok, type Result} from 'neverthrow';
import {readSteadyMs} from '../common/clock.js';
import {type ServerLifetime} from '../common/server-lifetime.js';
import {type LocalGate} from '../forwarding/local-gate.js';
import {type AnnouncementRefusal} from '../local-server/announcement-refusal.js';
import {checkService} from '../local-server/check-service.js';
import {type ServerAnnouncement} from '../local-server/local-server.js';
import {createStartTimeCheck} from '../local-server/start-time-check.js';
import {type Peer} from '../peers/peer-table.js';
import {type AnnouncementContext, type ServerCall} from './announcement-server.js';

/** @internal */
export type OwnServerContext = {
	/** Decodes a call of a backend server; `undefined` if there is no such call. */
	readonly decode: AnnouncementContext['decode'];
	/** The service that the settings name. */
	readonly service: string;
	readonly listPeers: () => Iterable<Peer>;
	readonly gate: Pick<LocalGate, 'announce' | 'leave'>;
};

/** @internal */
export type OwnServerCalls = Pick<AnnouncementContext, 'decode' | 'handleCall'>;

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
export function createOwnServerCalls({decode, service, listPeers, gate}: OwnServerContext): OwnServerCalls {
	const startCheck = createStartTimeCheck(() => listLifetimes(listPeers()));

	const check = (announcement: ServerAnnouncement): Result<ServerAnnouncement, AnnouncementRefusal> => checkService(announcement, service)
		.andThen(own => startCheck.check(own, readSteadyMs()));

	return {
		decode: (method, target, body) => decode(method, target, body)
			.andThen((call): Result<ServerCall | undefined, AnnouncementRefusal> => call?.type === 'announce' ? check(call.announcement).map(() => call) : ok(call)),
		handleCall(call) {
			switch (call.type) {
				case 'announce': {
					gate.announce(call.announcement);
					return ok(undefined);
				}

				case 'leave': {
					return gate.leave(call.leave);
				}
			}
		},
	};
}
