/**
 * Checks and applies the messages of the backend server beside this node, and
 * refuses messages of other senders in its name.
 *
 * @module
 */
import {err, ok, type Result} from 'neverthrow';
import {readSteadyMs} from '../common/clock.js';
import {type ServerLifetime} from '../common/server-lifetime.js';
import {type LocalGate} from '../forwarding/local-gate.js';
import {type AnnouncementRefusal} from '../local-server/announcement-refusal.js';
import {type ServerDepartures} from '../departures/server-departures.js';
import {checkService} from '../local-server/check-service.js';
import {type ServerAnnouncement} from '../local-server/local-server.js';
import {createStartTimeCheck} from '../local-server/start-time-check.js';
import {type Peer} from '../peers/peer-table.js';
import {type AnnouncementContext, type ServerMessage} from './announcement-server.js';

/** @internal */
export type LocalServerMessageContext = {
	/** Decodes a message of the backend server; yields `undefined` if there is no such method and path. */
	readonly decode: AnnouncementContext['decode'];
	/** The service of this node's settings. */
	readonly service: string;
	readonly listPeers: () => Iterable<Peer>;
	readonly gate: Pick<LocalGate, 'announce' | 'leave'>;
	readonly departures: Pick<ServerDepartures, 'waitUntilKnown' | 'waitUntilStored' | 'areReplicated'>;
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

/** The server gets no requests from this run of the node, but a later run would not know that. */
const unreplicatedDeparture: AnnouncementRefusal = {cause: 'not-replicated', text: 'neither the store nor another node can be reached to replicate the departure; send it again'};

const isDeparture = (message: ServerMessage): boolean => message.type === 'leave' || message.announcement.isDraining;

/**
 * @param context - The decoder, the data for the checks, and the gate that messages are applied to.
 * @returns The decoder and the handler of messages.
 * @internal
 */
export function createLocalServerMessageHandler({decode, service, listPeers, gate, departures}: LocalServerMessageContext): LocalServerMessageHandler {
	const startCheck = createStartTimeCheck(() => listLifetimes(listPeers()));

	const check = (announcement: ServerAnnouncement): Result<ServerAnnouncement, AnnouncementRefusal> => checkService(announcement, service)
		.andThen(own => startCheck.check(own, readSteadyMs()));

	const apply = (message: ServerMessage): Result<undefined, AnnouncementRefusal> => {
		switch (message.type) {
			case 'announce': {
				gate.announce(message.announcement);
				return ok(undefined);
			}

			case 'leave': {
				return gate.leave(message.leave);
			}
		}
	};

	return {
		decode: (method, target, body) => decode(method, target, body)
			.andThen((message): Result<ServerMessage | undefined, AnnouncementRefusal> => message?.type === 'announce' ? check(message.announcement).map(() => message) : ok(message)),
		async handleMessage(message) {
			if (!isDeparture(message)) {
				// The announcement may be late: an earlier run of this node may have acknowledged that the server leaves.
				await departures.waitUntilKnown();
				return apply(message);
			}

			const applied = apply(message);
			await departures.waitUntilStored();
			return applied.andThen(() => departures.areReplicated() ? ok(undefined) : err(unreplicatedDeparture));
		},
	};
}
