/**
 * The backend servers whose responses said that they leave, as this node passed
 * them on. The node sends them no further requests, whatever the nodes beside them
 * report: these may have restarted and know nothing of it.
 *
 * @module
 */
import {type LifetimeKey} from '../common/server-lifetime.js';

/** @internal */
export type LeavingServers = {
	readonly add: (server: LifetimeKey) => void;
	readonly has: (server: LifetimeKey) => boolean;
};

/** Maximum number of remembered servers; the users replace about as many in a day. */
const maxServerCount = 4096;

/**
 * @returns An empty set of servers.
 * @internal
 */
export function createLeavingServers(): LeavingServers {
	const servers = new Set<LifetimeKey>();
	return {
		add(server) {
			servers.add(server);
			if (servers.size > maxServerCount) {
				servers.delete(servers.values().next().value!);
			}
		},
		has: server => servers.has(server),
	};
}
