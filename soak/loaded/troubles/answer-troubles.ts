/**
 * Troubles with single answers of all backend servers.
 *
 * @module
 */
import {setTimeout as sleep} from 'node:timers/promises';
import {answerFaults} from './answer-faults.js';
import {type Trouble} from './trouble.js';

const faultyMs = 5000;

function createAnswerTrouble(name: string): Trouble {
	return async ({answerFaultNames}) => {
		if (answerFaultNames.has(name)) {
			return;
		}

		answerFaultNames.add(name);
		await sleep(faultyMs);
		answerFaultNames.delete(name);
	};
}

export const answerTroubles: Readonly<Record<string, Trouble>> = Object.fromEntries(Object.keys(answerFaults).map(name => [name, createAnswerTrouble(name)]));
