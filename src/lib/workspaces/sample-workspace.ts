/**
 * A workspace for tests.
 *
 * @module
 */
import {type Workspace} from './workspace.js';

/**
 * @param changes - Fields that differ from the sample.
 * @returns A workspace with one key and no quota.
 * @internal
 */
export function createSampleWorkspace(changes: Partial<Workspace> = {}): Workspace {
	return {
		name: 'alpha', keys: ['alpha-1'], priority: undefined, ratePerSecond: undefined, burst: 0, ...changes,
	};
}
