/**
 * The results of an experiment, which the tables and the plots show.
 *
 * @module
 */
import {type OutcomeCounts} from './outcome-counts.js';
import {type Pattern} from './pattern.js';
import {type Policy} from './policy.js';

/** Results of one set of rules under one pattern. */
export type ExperimentResult = {
	readonly pattern: Pattern;
	readonly policy: Policy;
	/** Counts of each seed. */
	readonly countsBySeed: readonly OutcomeCounts[];
};
