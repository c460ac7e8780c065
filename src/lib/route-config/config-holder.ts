/**
 * Holds the active configuration. Rejects any configuration whose version is
 * not higher.
 *
 * @module
 */
import {createWorkspaceIndex, type WorkspaceIndex} from '../workspaces/workspace-index.js';
import {createConfigHistory, type ConfigStep} from './config-history.js';
import {type RouteConfig} from './route-config.js';
import {createRouteIndex, type RouteIndex} from './route-index.js';
import {computeTextDelta} from './text-delta.js';

/** The active configuration, with its index and text. @internal */
export type ActiveConfig = {
	readonly config: RouteConfig;
	readonly index: RouteIndex;
	readonly workspaces: WorkspaceIndex;
	/** The text in the store, which is also sent to other nodes. */
	readonly text: string;
};

/** @internal */
export type ConfigHolder = {
	readonly get: () => ActiveConfig | undefined;
	/** Returns the version of the active configuration; 0 if there is none. */
	readonly getVersion: () => number;
	/** Makes a configuration active if its version is higher. Returns whether it did. */
	readonly applyIfNewer: (candidate: ConfigCandidate) => boolean;
	/** Returns the steps from a version to the active one; `undefined` if they are not known. */
	readonly listSteps: (from: number) => readonly ConfigStep[] | undefined;
};

/** A configuration that becomes active if it is newer. @internal */
export type ConfigCandidate = {
	readonly config: RouteConfig;
	readonly text: string;
	/** Source for the log: `store` or the id of a node. */
	readonly source: string;
	/** The steps that produced it, if it was received as steps. */
	readonly steps?: readonly ConfigStep[];
};

/**
 * @param handleApplied - Called with each configuration that becomes active, and its source.
 * @returns A holder without a configuration.
 * @internal
 */
export function createConfigHolder(handleApplied: (active: ActiveConfig, source: string) => void): ConfigHolder {
	let active: ActiveConfig | undefined;
	const history = createConfigHistory();
	const getVersion = (): number => active?.config.version ?? 0;
	return {
		get: () => active,
		getVersion,
		listSteps: history.listSteps,
		applyIfNewer({config, text, source, steps}) {
			if (config.version <= getVersion()) {
				return false;
			}

			for (const step of steps ?? computeSteps(active, config, text)) {
				history.add(step);
			}

			// A single assignment, so that a request sees one whole configuration, and keeps it until it ends.
			active = {
				config, index: createRouteIndex(config), workspaces: createWorkspaceIndex(config.workspaces), text,
			};
			handleApplied(active, source);
			return true;
		},
	};
}

/** Computes the step from the active configuration to the next; the step is unknown if there is no active one. */
function computeSteps(previous: ActiveConfig | undefined, {version}: RouteConfig, text: string): ReadonlyArray<ConfigStep | undefined> {
	return [previous === undefined ? undefined : {from: previous.config.version, to: version, delta: computeTextDelta(previous.text, text)}];
}
