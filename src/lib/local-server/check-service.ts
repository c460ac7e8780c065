/**
 * Checks that an announcement comes from the backend server beside this node.
 *
 * @module
 */
import {err, ok, type Result} from 'neverthrow';
import {type AnnouncementRefusal} from './announcement-refusal.js';
import {type ServerAnnouncement} from './local-server.js';

/**
 * Checks that an announcement names the service of this node's settings. A server of another service sends here because
 * it was configured with an address that this VM had earlier. The configuration can't decide this: it names the services
 * of all VMs, and may add a service after its server has started.
 *
 * @param announcement - The announcement.
 * @param service - The service of this node's settings.
 * @returns The announcement, or why it is refused.
 * @internal
 */
export function checkService(announcement: ServerAnnouncement, service: string): Result<ServerAnnouncement, AnnouncementRefusal> {
	return announcement.service === service
		? ok(announcement)
		: err({cause: 'service', text: `info.service: found ${JSON.stringify(announcement.service)}, must be ${JSON.stringify(service)}, the service of this node's settings`});
}
