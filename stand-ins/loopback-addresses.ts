/**
 * Addresses of a node that has a loopback IP address of its own, for benchmarks and scenarios.
 *
 * @module
 */

/** The listen addresses in a node's settings. */
export type ListenAddresses = {
	readonly callers: string;
	readonly gate: string;
	readonly control: string;
	readonly gossip: string;
	readonly operators: string;
	readonly announcements: string;
};

/** Returns a node's listen addresses on a host, with fixed ports: 7001 for callers, 7002 for the gate, and so on. */
export function createListenAddresses(host: string): ListenAddresses {
	return {
		callers: `${host}:7001`,
		gate: `${host}:7002`,
		control: `${host}:7003`,
		gossip: `${host}:7004`,
		operators: `${host}:7005`,
		announcements: `${host}:7006`,
	};
}
