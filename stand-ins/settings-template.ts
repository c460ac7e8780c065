/**
 * Fills in the settings template of a sidecar node, and reads how the program
 * is started, as the platform does.
 *
 * @module
 */
import {readFileSync} from 'node:fs';
import {createListenAddresses} from './loopback-addresses.js';

/** What differs between the nodes of a mesh. */
export type NodeParameters = {
	readonly name: string;
	readonly failureDomain: string;
	readonly service: string;
	/** Its loopback IP number. */
	readonly host: string;
	readonly storeAddress: string;
	readonly graceMs: number;
	/** Repeats in a window, over all nodes. */
	readonly retrySlack: number;
};

const deployFolder = new URL('../../deploy/', import.meta.url);
const placeholder = /{{([\w.-]+)(?:\|json)?}}/g;

/** A value in quotes, but within a text that has quotes of its own. */
const isJsonPlaceholder = (match: string): boolean => match.endsWith('|json}}');

/** Addresses of a node's settings that other parts of a mesh need. */
export const createReadinessAddress = (host: string): string => `${host}:7007`;

/**
 * @param parameters - Where the node stands.
 * @returns The text of its settings file.
 */
export function renderSettings(parameters: NodeParameters): string {
	const {callers, gate, announcements} = createListenAddresses(parameters.host);
	const values: Readonly<Record<string, string | number>> = {
		'node-name': parameters.name, zone: parameters.failureDomain, service: parameters.service, ip: parameters.host, 'internal-ports.0': 7004,
		'listen.outbound': callers, 'listen.inbound': gate, 'listen.control': announcements, 'listen.readiness': createReadinessAddress(parameters.host),
		'platform.address': parameters.storeAddress, 'limits.link-mbps': 1000,
		'bounds.retry-budget-ratio': 0.2, 'bounds.budget-slack': parameters.retrySlack, 'bounds.budget-window': '10s', 'bounds.grace-period': `${parameters.graceMs}ms`,
	};
	return readFileSync(new URL('settings.yaml', deployFolder), 'utf8').replaceAll(placeholder, (match, name: string) => {
		const value = values[name];
		if (value === undefined) {
			throw new Error(`the settings template asks for ${name}, which stand-ins do not know`);
		}

		return isJsonPlaceholder(match) ? JSON.stringify(value) : String(value);
	});
}

/** @returns The options of Node.js that the deployed program is started with. */
export function readProgramOptions(): readonly string[] {
	const text = readFileSync(new URL('system.toml', deployFolder), 'utf8');
	const options = /^run = "node (.*?) target\//m.exec(text)?.[1];
	if (options === undefined) {
		throw new Error('deploy/system.toml does not say how the program is started');
	}

	return options.split(' ');
}
