/**
 * Troubles with callers and operators: more load, callers that leave or repeat, and many configurations.
 *
 * @module
 */
import {setTimeout as sleep} from 'node:timers/promises';
import {type Trouble} from './trouble.js';

const misbehavingMs = 4000;

/** Share of the requests whose callers leave, and after which time. */
const givingUpShare = 0.3;
const givesUpAfterMs = 200;

const repeatingShare = 0.3;
const repeats = 3;

const pipeliningMs = 8000;

/** Factor of the usual load. */
const burstFactor = 2.5;

const storms = 20;
const stormIntervalMs = 100;

export const callerTroubles: Readonly<Record<string, Trouble>> = {
	async 'give-up'({callers}) {
		callers.setHabit({givingUpShare, givesUpAfterMs});
		await sleep(misbehavingMs);
		callers.setHabit({givingUpShare: 0});
	},
	async repeat({callers}) {
		callers.setHabit({repeatingShare, repeats});
		await sleep(misbehavingMs);
		callers.setHabit({repeatingShare: 0});
	},
	async pipeline({callers}) {
		callers.setHabit({pipeliningShare: 1});
		await sleep(pipeliningMs);
		callers.setHabit({pipeliningShare: 0});
	},
	async burst({callers}) {
		callers.setLoadFactor(burstFactor);
		await sleep(misbehavingMs);
		callers.setLoadFactor(1);
	},
	async 'config-storm'({changeConfig}) {
		for (let count = 0; count < storms; count++) {
			changeConfig();
			await sleep(stormIntervalMs);
		}
	},
};
