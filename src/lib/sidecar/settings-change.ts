/**
 * Which settings a node takes over while it runs, and which need a restart.
 *
 * @module
 */
import {isDeepStrictEqual} from 'node:util';
import {type SidecarSettings} from './sidecar-settings.js';

/** Settings that are read each time they are used. */
const reloadableSettings: ReadonlySet<keyof SidecarSettings> = new Set<keyof SidecarSettings>(['seeds', 'retries', 'shutdownMs']);

/**
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
 * @param current - Settings in use.
 * @param changed - Settings as the file has them now.
 * @returns Names of settings that differ and are not taken over before a restart: who and where this node is.
 * @internal
 */
export function listChangesNeedingRestart(current: SidecarSettings, changed: SidecarSettings): readonly string[] {
	const names = Object.keys(changed) as Array<keyof SidecarSettings>;
	return names.filter(name => !reloadableSettings.has(name) && !isDeepStrictEqual(current[name], changed[name]));
}
