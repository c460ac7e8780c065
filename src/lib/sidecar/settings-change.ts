/**
 * Decides which changed settings a node applies at run time, and which need a
 * restart.
 *
 * @module
 */
import {isDeepStrictEqual} from 'node:util';
import {type SidecarSettings} from './sidecar-settings.js';

/** Settings that apply at run time, since they are read at each use. */
const reloadableSettings: ReadonlySet<keyof SidecarSettings> = new Set<keyof SidecarSettings>(['seeds', 'retries', 'shutdownMs']);

/**
 * Applies the changes that need no restart.
 *
 * @param current - Settings in use.
 * @param changed - Settings as the file has them now.
 * @returns Settings to use from now on.
 * @internal
 */
export function mergeSettings(current: SidecarSettings, changed: SidecarSettings): SidecarSettings {
	const {seeds, retries, shutdownMs} = changed;
	return {
		...current, seeds, retries, shutdownMs,
	};
}

/**
 * Lists the changes that need a restart.
 *
 * @param current - Settings in use.
 * @param changed - Settings as the file has them now.
 * @returns Names of changed settings that apply only after a restart, such as the identity and the addresses of this node.
 * @internal
 */
export function listChangesNeedingRestart(current: SidecarSettings, changed: SidecarSettings): readonly string[] {
	const names = Object.keys(changed) as Array<keyof SidecarSettings>;
	return names.filter(name => !reloadableSettings.has(name) && !isDeepStrictEqual(current[name], changed[name]));
}
