/**
 * HTTP interface through which a backend server announces itself to the node beside it.
 *
 * @module
 */
import {Hono} from 'hono';
import {z} from 'zod';
import {isAddress} from '../common/address.js';
import {settle} from '../common/settle.js';
import {toBackendServerId, type Address, type BackendServerId} from '../common/ids.js';
import {type LocalServers} from './local-servers.js';

/** Upper limit of the slots, and of the connections, of one backend server. */
const maximumSlots = 100_000;

/** Schema of an announcement. @public */
export const announcementSchema = z.strictObject({
	id: z.string().regex(/^[\w.-]{1,60}$/, 'must be 1 to 60 letters, digits, ".", "_" or "-"') as unknown as z.ZodType<BackendServerId>,
	service: z.string().regex(/^[a-z\d][a-z\d._-]{0,99}$/, 'must be a lower-case name'),
	address: z.string().refine(isAddress, 'must be an IP address and a port') as unknown as z.ZodType<Address>,
	slots: z.int().min(1).max(maximumSlots),
	connections: z.int().min(1).max(maximumSlots),
}).readonly();

/** What the interface needs of the other nodes. @internal */
export type AnnouncementMesh = {
	readonly waitUntilJoined: () => Promise<void>;
	readonly pushOwnRecord: () => Promise<boolean>;
};

/**
 * Creates the HTTP interface for announcements.
 *
 * @param servers - The backend servers beside this node.
 * @param mesh - `waitUntilJoined` waits until this node has learned from others which of its servers leave, for a short time at most. `pushOwnRecord` tells other nodes of a drain or its end, and resolves with whether one has received it.
 * @returns The Hono application.
 * @internal
 */
export function createAnnouncementApi(servers: LocalServers, mesh: AnnouncementMesh): Hono {
	const app = new Hono();

	app.post('/v1/announcements', async context => {
		const body: unknown = await settle(context.req.json());
		const parsed = announcementSchema.safeParse(body);
		if (!parsed.success) {
			const problems = parsed.error.issues.map(issue => `${issue.path.join('.')}: ${issue.message}`);
			return context.json({reason: 'bad-announcement', problems}, 400);
		}

		await mesh.waitUntilJoined();
		servers.announce(parsed.data);
		return context.json({announced: parsed.data.id});
	});

	app.get('/v1/announcements', context => context.json(servers.list()));

	app.post('/v1/announcements/:id/drain', async context => {
		const id = toBackendServerId(context.req.param('id'));
		return servers.drain(id) ? context.json({draining: id, replicated: await mesh.pushOwnRecord()}) : context.json({reason: 'unknown-server'}, 404);
	});

	app.delete('/v1/announcements/:id', async context => {
		servers.withdraw(toBackendServerId(context.req.param('id')), 'it withdrew');
		// Otherwise a node that restarts now would drain a later start of the server.
		await mesh.pushOwnRecord();
		return context.json({withdrawn: context.req.param('id')});
	});

	return app;
}
