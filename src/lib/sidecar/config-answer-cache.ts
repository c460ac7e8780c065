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
export function createConfigAnswerCache(holder: Pick<ConfigHolder, 'get' | 'getVersion' | 'listSteps'>): (version: number) => EncodedConfigAnswer {
	let cachedVersion = 0;
	const stepAnswers = new Map<number, EncodedConfigAnswer>();
	let wholeAnswer: EncodedConfigAnswer | undefined;

	const encodeWholeAnswer = (): EncodedConfigAnswer => {
		const active = holder.get();
		return encodeConfigAnswer(active === undefined ? undefined : {type: 'whole', text: active.text});
	};

	return version => {
		if (holder.getVersion() !== cachedVersion) {
			cachedVersion = holder.getVersion();
			stepAnswers.clear();
			wholeAnswer = undefined;
		}

		const steps = holder.listSteps(version);
		if (steps === undefined) {
			// One for all versions to which no steps are known, whatever numbers are asked for.
			wholeAnswer ??= encodeWholeAnswer();
			return wholeAnswer;
		}

		const stepAnswer = stepAnswers.get(version) ?? encodeConfigAnswer({type: 'steps', steps});
		stepAnswers.set(version, stepAnswer);
		return stepAnswer;
	};
}
