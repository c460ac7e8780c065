/**
 * What other nodes are sent when they ask for the configuration. Many ask for
 * the same at once, so that each answer is made once.
 *
 * @module
 */
import {encodeConfigAnswer, type EncodedConfigAnswer} from '../forwarding/config-messages.js';
import {type ConfigHolder} from '../route-config/config-holder.js';

/**
 * @param holder - Holds the configuration in force.
 * @returns What a node is sent that has a version of it.
 * @internal
 */
export function createConfigAnswers(holder: Pick<ConfigHolder, 'get' | 'getVersion' | 'listSteps'>): (version: number) => EncodedConfigAnswer {
	let inForce = 0;
	const stepAnswers = new Map<number, EncodedConfigAnswer>();
	let wholeAnswer: EncodedConfigAnswer | undefined;

	const encodeWhole = (): EncodedConfigAnswer => {
		const held = holder.get();
		return encodeConfigAnswer(held === undefined ? undefined : {type: 'whole', text: held.text});
	};

	return version => {
		if (holder.getVersion() !== inForce) {
			inForce = holder.getVersion();
			stepAnswers.clear();
			wholeAnswer = undefined;
		}

		const steps = holder.listSteps(version);
		if (steps === undefined) {
			// One for all versions to which no steps are known, whatever numbers are asked for.
			wholeAnswer ??= encodeWhole();
			return wholeAnswer;
		}

		const known = stepAnswers.get(version) ?? encodeConfigAnswer({type: 'steps', steps});
		stepAnswers.set(version, known);
		return known;
	};
}
