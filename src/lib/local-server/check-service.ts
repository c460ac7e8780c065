/**
 * Checks that an announcement is of the backend server beside this node.
 *
 * @module
 */
import {err, ok, type Result} from 'neverthrow';
import {type AnnouncementRefusal} from './announcement-refusal.js';
import {type ServerAnnouncement} from './local-server.js';

/**
 * The settings name the one service whose server stands beside a node, so a server of any other service that speaks here
 * was given an address that this VM had before. Whether the configuration knows the service shows nothing: it may name it
 * later, and it names the services of all VMs.
 *
 * @param announcement - The announcement.
 * @param service - The service of this node's settings.
 * @returns The announcement, or why it names no server to use.
 * @internal
 */
export function checkService(announcement: ServerAnnouncement, service: string): Result<ServerAnnouncement, AnnouncementRefusal> {
	return announcement.service === service
		? ok(announcement)
		: err({cause: 'service', text: `info.service: found ${JSON.stringify(announcement.service)}, must be ${JSON.stringify(service)}, the service of this node's settings`});
}
