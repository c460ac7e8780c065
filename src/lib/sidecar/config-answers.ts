/**
 * What other nodes are sent when they ask for the configuration. Many ask for
 * the same at once, so that each answer is made once.
 *
 * @module
 */
import {encodeConfigAnswer, type ConfigAnswer, type EncodedConfigAnswer} from '../forwarding/config-messages.js';
import {type ConfigHolder} from '../route-config/config-holder.js';

/**
 * @param holder - Holds the configuration in force.
 * @returns What a node is sent that has a version of it.
 * @internal
 */
export function createConfigAnswers(holder: Pick<ConfigHolder, 'get' | 'getVersion' | 'listSteps'>): (version: number) => EncodedConfigAnswer {
	let inForce = 0;
	const answers = new Map<number, EncodedConfigAnswer>();

	const chooseAnswer = (version: number): ConfigAnswer | undefined => {
		const held = holder.get();
		const steps = holder.listSteps(version);
		if (steps !== undefined) {
			return {type: 'steps', steps};
		}

		return held === undefined ? undefined : {type: 'whole', text: held.text};
	};

	return version => {
		if (holder.getVersion() !== inForce) {
			inForce = holder.getVersion();
			answers.clear();
		}

		const known = answers.get(version);
		if (known !== undefined) {
			return known;
		}

		const answer = encodeConfigAnswer(chooseAnswer(version));
		answers.set(version, answer);
		return answer;
	};
}
