/**
 * Settings of a sidecar node. Checked without a schema library, since loading
 * one takes more processor time than a node has at its start.
 *
 * @module
 */
import {err, ok, type Result} from 'neverthrow';
import {isAddress, isReachableAddress} from '../common/address.js';
import {parseDuration} from '../common/duration.js';
import {
	toAddress, toFailureDomain, toNodeId, type Address, type FailureDomain, type NodeId,
} from '../common/ids.js';
import {type QuotaTolerance} from '../quotas/quota-plan.js';

/** @public */
export type SidecarSettings = {
	readonly node: NodeId;
	readonly failureDomain: FailureDomain;
	/** Service of the backend server on this VM. */
	readonly service: string;
	readonly listen: {
		/** For callers on this VM, among them the backend server. */
		readonly callers: Address;
		/** For requests of other nodes. */
		readonly gate: Address;
		/** For heartbeats, UDP. */
		readonly gossip: Address;
		readonly readiness: Address;
		/** For announcements and leaves of the backend server. */
		readonly announcements: Address;
		readonly metrics: Address;
	};
	readonly storeAddress: Address;
	/** Bandwidth of this VM's link in megabits per second. Nodes with a fast link do more work for the others. */
	readonly linkMbps: number;
	/** Heartbeat addresses of a few other nodes, which may be out of date. */
	readonly seeds: readonly Address[];
	readonly retries: {
		/** Retries per request, over all nodes. */
		readonly ratio: number;
		/** Additional retries per window, over all nodes. */
		readonly slack: number;
		readonly windowMs: number;
	};
	/** Limits of rollouts; `undefined` if the platform has none. */
	readonly rollouts?: {
		/** Share of the requests of a service that a version under test may get, over all nodes. */
		readonly maxExposure: number;
	} | undefined;
	/** Tolerance of the quotas of workspaces; `undefined` for the defaults. */
	readonly quotas?: QuotaTolerance | undefined;
	/** Memory that this process may take, in megabytes, and descriptors that it may have open; the limits of the smallest machines if `undefined`. */
	readonly memoryMb?: number | undefined;
	readonly maxFds?: number | undefined;
	/** How long the backend server takes requests after it announced that it drains. Without it, a request whose body has not arrived by then is refused. */
	readonly drainMs: number;
	/** Time from SIGTERM until the process must have exited. */
	readonly shutdownMs: number;
};

type Json = Readonly<Record<string, unknown>>;

/** A node without load takes half of this. */
const minMemoryMb = 128;

/** Enough for the connections of a small mesh. */
const minFds = 256;

class SettingError extends Error {}

function readObject(parent: Json, name: string): Json {
	const value = parent[name];
	if (typeof value !== 'object' || value === null || Array.isArray(value)) {
		throw new SettingError(`${name}: must be an object`);
	}

	return value as Json;
}

function readString(parent: Json, name: string, prefix: string): string {
	const value = parent[name];
	if (typeof value !== 'string' || value === '') {
		throw new SettingError(`${prefix}${name}: found ${JSON.stringify(value) ?? 'nothing'}, must be a non-empty string`);
	}

	return value;
}

function readAddress(parent: Json, name: string, prefix: string): Address {
	const text = readString(parent, name, prefix);
	if (!isAddress(text)) {
		throw new SettingError(`${prefix}${name}: found "${text}", must be an IP address and a port, as in 127.0.0.1:7001`);
	}

	return toAddress(text);
}

function readNonNegativeNumber(parent: Json, name: string, prefix: string): number {
	const value = parent[name];
	if (typeof value !== 'number' || !Number.isFinite(value) || value < 0) {
		throw new SettingError(`${prefix}${name}: found ${JSON.stringify(value) ?? 'nothing'}, must be a non-negative number`);
	}

	return value;
}

/** Reads a limit of the machine. Below the minimum, a node could not serve ordinary requests. */
function readMachineLimit(settings: Json, name: string, minimum: number): number | undefined {
	const value = settings[name];
	if (value === undefined) {
		return undefined;
	}

	if (typeof value !== 'number' || !Number.isFinite(value) || value < minimum) {
		throw new SettingError(`${name}: found ${JSON.stringify(value)}, must be a number of at least ${minimum}`);
	}

	return value;
}

function readDuration(parent: Json, name: string, prefix: string): number {
	const milliseconds = parseDuration(parent[name]);
	if (milliseconds === undefined || milliseconds < 0) {
		throw new SettingError(`${prefix}${name}: found ${JSON.stringify(parent[name]) ?? 'nothing'}, must be a duration, as in "1500ms" or "2.5s"`);
	}

	return milliseconds;
}

function readSeeds(value: unknown): readonly Address[] {
	if (!Array.isArray(value) || !value.every(seed => typeof seed === 'string' && isReachableAddress(seed))) {
		throw new SettingError('seeds: must be a list of IP addresses with ports');
	}

	return value.map(seed => toAddress(seed as string));
}

function readRollouts(settings: Json): SidecarSettings['rollouts'] {
	if (settings.rollouts === undefined) {
		return undefined;
	}

	const rollouts = readObject(settings, 'rollouts');
	const maxExposure = readNonNegativeNumber(rollouts, 'maxExposure', 'rollouts.');
	if (maxExposure > 1) {
		throw new SettingError(`rollouts.maxExposure: found ${maxExposure}, must be a share of 0 to 1`);
	}

	return {maxExposure};
}

function readQuotas(settings: Json): SidecarSettings['quotas'] {
	if (settings.quotas === undefined) {
		return undefined;
	}

	const quotas = readObject(settings, 'quotas');
	const windowMs = readDuration(quotas, 'window', 'quotas.');
	if (windowMs === 0) {
		throw new SettingError('quotas.window: found 0, must be a duration above 0');
	}

	return {windowMs, overage: readNonNegativeNumber(quotas, 'overage', 'quotas.'), slack: readNonNegativeNumber(quotas, 'slack', 'quotas.')};
}

function readSettings(settings: Json): SidecarSettings {
	const listen = readObject(settings, 'listen');
	const retries = readObject(settings, 'retries');
	return {
		node: toNodeId(readString(settings, 'node', '')),
		failureDomain: toFailureDomain(readString(settings, 'failureDomain', '')),
		service: readString(settings, 'service', ''),
		listen: {
			callers: readAddress(listen, 'callers', 'listen.'),
			gate: readAddress(listen, 'gate', 'listen.'),
			gossip: readAddress(listen, 'gossip', 'listen.'),
			readiness: readAddress(listen, 'readiness', 'listen.'),
			announcements: readAddress(listen, 'announcements', 'listen.'),
			metrics: readAddress(listen, 'metrics', 'listen.'),
		},
		storeAddress: readAddress(settings, 'storeAddress', ''),
		linkMbps: readNonNegativeNumber(settings, 'linkMbps', ''),
		seeds: readSeeds(settings.seeds ?? []),
		retries: {
			ratio: readNonNegativeNumber(retries, 'ratio', 'retries.'),
			slack: readNonNegativeNumber(retries, 'slack', 'retries.'),
			windowMs: readDuration(retries, 'window', 'retries.'),
		},
		rollouts: readRollouts(settings),
		quotas: readQuotas(settings),
		memoryMb: readMachineLimit(settings, 'memoryMb', minMemoryMb),
		maxFds: readMachineLimit(settings, 'maxFds', minFds),
		drainMs: settings.drain === undefined ? 0 : readDuration(settings, 'drain', ''),
		shutdownMs: readDuration(settings, 'shutdown', ''),
	};
}

/**
 * Checks settings.
 *
 * @param value - The decoded settings file.
 * @returns The settings, or an error that names the invalid field, its value and the expected form.
 * @public
 */
export function parseSidecarSettings(value: unknown): Result<SidecarSettings, string> {
	if (typeof value !== 'object' || value === null) {
		return err('settings: must be an object');
	}

	try {
		return ok(readSettings(value as Json));
	} catch (error) {
		return err((error as Error).message);
	}
}
