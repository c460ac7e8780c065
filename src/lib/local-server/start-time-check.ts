/**
 * Decides whether a backend server that does not say when it started is one to use.
 *
 * Where servers say it, a word without it comes from another writer. On platforms whose servers do not, each start
 * has an id of its own, and to refuse their words would leave a mesh without any server. What a node hears tells the two apart.
 *
 * @module
 */
import {err, ok, type Result} from 'neverthrow';
import {isStartKnown, type ServerLifetime} from '../common/server-lifetime.js';
import {type AnnouncementRefusal} from './announcement-refusal.js';
import {type ServerAnnouncement} from './local-server.js';

/** @internal */
export type StartTimeCheck = {
	/** Checks an announcement; the ones that pass teach what to expect. */
	readonly check: (announcement: ServerAnnouncement, now: number) => Result<ServerAnnouncement, AnnouncementRefusal>;
};

/** A server beside this node that said its start within this time shows that servers say it. Milliseconds: some six announcements; the words of another writer then mislead for no longer. */
const startTimeExpectedMs = 10_000;

/** Servers beside other nodes that are looked at: enough that one node which was misled decides nothing. */
const maximumSampleCount = 15;

/** Whether most of the servers that other nodes tell of say when they started. */
function isStartTimeUsual(lifetimes: Iterable<ServerLifetime>): boolean {
	let sampled = 0;
	let withStartTime = 0;
	for (const lifetime of lifetimes) {
		sampled++;
		withStartTime += isStartKnown(lifetime) ? 1 : 0;
		if (sampled >= maximumSampleCount) {
			break;
		}
	}

	return withStartTime * 2 > sampled;
}

/**
 * @param listLifetimes - Lifetimes of servers beside other nodes, as these tell of them.
 * @returns A check that has heard nothing.
 * @internal
 */
export function createStartTimeCheck(listLifetimes: () => Iterable<ServerLifetime>): StartTimeCheck {
	let heardAt = Number.NEGATIVE_INFINITY;
	return {
		check(announcement, now) {
			if (isStartKnown(announcement.lifetime)) {
				heardAt = now;
				return ok(announcement);
			}

			return now - heardAt <= startTimeExpectedMs || isStartTimeUsual(listLifetimes())
				? err({cause: 'start', text: 'start: found nothing, must be when the server started, as the servers of this mesh say it'})
				: ok(announcement);
		},
	};
}
