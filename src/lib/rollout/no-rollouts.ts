/**
 * The decisions of a node on a platform without rollouts: no restrictions.
 *
 * @module
 */
import {type EntryRollouts, type GateRollouts} from './rollouts.js';

/** @internal */
export const noRollouts: EntryRollouts & GateRollouts = {
	recordRequest: () => undefined,
	chooseServers: () => undefined,
	chooseTestedServers: () => undefined,
	recordExposure: () => undefined,
	releaseExposure: () => undefined,
	admit: () => ({type: 'admitted'}),
	isCounting: () => false,
	recordOutcome: () => undefined,
	getTally: () => undefined,
	isWithheld: () => false,
};
