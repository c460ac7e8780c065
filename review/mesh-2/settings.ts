/**
 * Renders the settings of a sidecar node from the template of the deploy file, and reads the
 * commands there, as the platform does.
 *
 * @module
 */
import {readFileSync} from 'node:fs';

/** A value of the platform's settings. */
export type SettingsValue = string | number | readonly SettingsValue[] | {readonly [name: string]: SettingsValue};

/** The ports of a machine. They are the same on all machines of a mesh. */
export const ports = {
	outbound: 7001, inbound: 7002, readiness: 7003, control: 7004, firstInternal: 7010, app: 7020, metrics: 9464,
} as const;

/** The settings that differ between machines. */
export type MachineSettings = {
	readonly name: string;
	readonly zone: string;
	readonly service: string;
	/** Loopback address of the machine. */
	readonly host: string;
	readonly linkMbps: number;
	readonly storeAddress: string;
	/** Bounds of the deployment, by name. */
	readonly bounds: Readonly<Record<string, string | number>>;
};

const sectionPattern = /{{#([\w.-]+)}}(.*?){{\/\1}}/gs;
const placeholderPattern = /{{([\w.-]+)(\|json)?}}/g;

function findValue(fields: SettingsValue, path: string): SettingsValue | undefined {
	let value: SettingsValue | undefined = fields;
	for (const name of path.split('.')) {
		value = typeof value === 'object' ? (value as Readonly<Record<string, SettingsValue>>)[name] : undefined;
	}

	return value;
}

/**
 * @param machine - The settings of a machine.
 * @returns The fields that the platform fills the template from.
 */
export function createFields({name, zone, service, host, linkMbps, storeAddress, bounds}: MachineSettings): SettingsValue {
	return {
		'node-name': name, zone, service, ip: host, 'internal-ports': [ports.firstInternal, ports.firstInternal + 5],
		listen: {
			outbound: `${host}:${ports.outbound}`, inbound: `${host}:${ports.inbound}`, readiness: `${host}:${ports.readiness}`, control: `${host}:${ports.control}`,
		},
		platform: {address: storeAddress},
		limits: {'link-mbps': linkMbps},
		bounds,
	};
}

/**
 * @param machine - The settings of a machine.
 * @returns The text of its settings file.
 * @throws Error if the template has a placeholder that the platform has no value for.
 */
export function renderTemplate(machine: MachineSettings): string {
	const fields = createFields(machine);
	const template = readFileSync('deploy/settings.yaml', 'utf8')
		.replaceAll(sectionPattern, (_match, path: string, content: string) => findValue(fields, path) === undefined ? '' : content);
	return template.replaceAll(placeholderPattern, (_match, path: string, json: string | undefined) => {
		const value = findValue(fields, path);
		if (value === undefined) {
			throw new Error(`deploy/settings.yaml: no value for the placeholder ${path}`);
		}

		return json === undefined && typeof value === 'string' ? value : JSON.stringify(value);
	});
}

/**
 * @param settingsFile - Path of the settings file of a machine.
 * @returns The command of the deploy file that starts a node, as a list of words.
 * @throws Error if the deploy file has no such command.
 */
export function readRunCommand(settingsFile: string): readonly string[] {
	const command = /^run = "(.*)"$/m.exec(readFileSync('deploy/system.toml', 'utf8'))?.[1];
	if (command === undefined) {
		throw new Error('deploy/system.toml: no line that begins with run');
	}

	return command.split(' ').map(word => word === '/etc/stonemoor/settings.toml' ? settingsFile : word);
}
