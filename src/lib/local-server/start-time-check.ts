/**
 * Decides whether to use a backend server whose announcements have no start time.
 *
 * If the servers of a mesh announce their start time, an announcement without one comes from another sender. On platforms
 * whose servers don't announce it, each start has its own id, and refusing such announcements would leave the mesh without
 * any server. The node distinguishes the two cases by the announcements and peer reports that it receives.
 *
 * @module
 */
import {err, ok, type Result} from 'neverthrow';
import {isStartKnown, type ServerLifetime} from '../common/server-lifetime.js';
import {type AnnouncementRefusal} from './announcement-refusal.js';
import {type ServerAnnouncement} from './local-server.js';

/** @internal */
export type StartTimeCheck = {
	/** Checks an announcement. Start times in announcements that pass decide how later ones are checked. */
	readonly check: (announcement: ServerAnnouncement, now: number) => Result<ServerAnnouncement, AnnouncementRefusal>;
};

/**
 * For this time after an announcement with a start time, every announcement is expected to have one. It spans about six
 * announcements, and bounds how long an announcement of another sender can have an effect.
 */
const startTimeExpectedMs = 10_000;

/** The number of servers beside other nodes that are sampled: enough that one node with a wrong report does not decide the result. */
const maximumSampleCount = 15;

/** Returns whether most of the sampled servers announce their start time. */
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
 * Creates the check, with no announcement received yet.
 *
 * @param listLifetimes - Lists the lifetimes of the servers beside other nodes, from their reports.
 * @returns The check.
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
				? err({cause: 'start', text: 'start: found nothing, must be the time at which the server started, which the servers of this mesh announce'})
				: ok(announcement);
		},
	};
}
