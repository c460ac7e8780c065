/**
 * Renders the settings template of a sidecar node and reads the program's start
 * options from the deploy file, as the platform does.
 *
 * @module
 */
import {readFileSync} from 'node:fs';
import {createListenAddresses} from './loopback-addresses.js';

/** The settings that differ between the nodes of a mesh. */
export type NodeParameters = {
	readonly name: string;
	readonly failureDomain: string;
	readonly service: string;
	/** The node's loopback IP address. */
	readonly host: string;
	readonly storeAddress: string;
	readonly graceMs: number;
	/** Retries that all nodes together may send in a window in addition to the share `bounds.retry-budget-ratio`. */
	readonly retrySlack: number;
	/** Share of the requests that a version under test may get; omitted for a platform without rollouts. */
	readonly maxExposure?: number;
	/** Tolerance of the quotas of workspaces; omitted for a platform without quotas. */
	readonly quotas?: {readonly window: string; readonly overage: number; readonly slack: number};
};

const deployFolder = new URL('../../deploy/', import.meta.url);
/** A part of the template that is rendered only if the platform has a value of this name. */
const section = /{{#([\w.-]+)}}(.*?){{\/\1}}/gs;
const placeholder = /{{([\w.-]+)(?:\|json)?}}/g;

/** Returns whether a placeholder requests its value as JSON. A string is then rendered with quotes. */
const isJsonPlaceholder = (match: string): boolean => match.endsWith('|json}}');

/** Returns the address of a node's readiness endpoint. */
export const createReadinessAddress = (host: string): string => `${host}:7007`;

/**
 * Renders a node's settings file from `deploy/settings.yaml`.
 *
 * @param parameters - The values of this node.
 * @returns The text of the settings file.
 * @throws Error if the template has a placeholder without a value.
 */
export function renderSettings(parameters: NodeParameters): string {
	const {callers, gate, announcements} = createListenAddresses(parameters.host);
	const values: Readonly<Record<string, string | number | undefined>> = {
		'node-name': parameters.name, zone: parameters.failureDomain, service: parameters.service, ip: parameters.host, 'internal-ports.0': 7004,
		'listen.outbound': callers, 'listen.inbound': gate, 'listen.control': announcements, 'listen.readiness': createReadinessAddress(parameters.host),
		'platform.address': parameters.storeAddress, 'limits.link-mbps': 1000, 'limits.memory-mb': 350, 'limits.max-fds': 4100,
		'bounds.retry-budget-ratio': 0.2, 'bounds.budget-slack': parameters.retrySlack, 'bounds.budget-window': '10s', 'bounds.grace-period': `${parameters.graceMs}ms`, 'bounds.max-exposure': parameters.maxExposure,
		'bounds.quota-window': parameters.quotas?.window, 'bounds.quota-overage': parameters.quotas?.overage, 'bounds.quota-slack': parameters.quotas?.slack,
	};
	const template = readFileSync(new URL('settings.yaml', deployFolder), 'utf8').replaceAll(section, (_match, name: string, content: string) => values[name] === undefined ? '' : content);
	return template.replaceAll(placeholder, (match, name: string) => {
		const value = values[name];
		if (value === undefined) {
			throw new Error(`deploy/settings.yaml has the placeholder ${name}, for which the stand-in has no value`);
		}

		return isJsonPlaceholder(match) ? JSON.stringify(value) : String(value);
	});
}

/**
 * Reads the start command in `deploy/system.toml`.
 *
 * @returns The Node.js options that the deployed program is started with.
 * @throws Error if the file has no such command.
 */
export function readProgramOptions(): readonly string[] {
	const text = readFileSync(new URL('system.toml', deployFolder), 'utf8');
	const options = /^run = "node (.*?) target\//m.exec(text)?.[1];
	if (options === undefined) {
		throw new Error('deploy/system.toml has no line `run = "node OPTIONS target/..."`');
	}

	return options.split(' ');
}
