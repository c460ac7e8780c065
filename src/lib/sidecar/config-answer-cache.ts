/**
 * Caches the encoded answers to requests of other nodes for the configuration.
 * Many nodes request the same version at the same time, so each answer is encoded once.
 *
 * @module
 */
import {encodeConfigAnswer, type EncodedConfigAnswer} from '../forwarding/config-messages.js';
import {countInsertedCharacters, type ConfigStep} from '../route-config/config-history.js';
import {type ConfigHolder} from '../route-config/config-holder.js';

/**
 * @param holder - Holds the active configuration.
 * @returns A function that returns the answer for a node that has a given version of the configuration.
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

	/** Whether steps take less of the link than the whole configuration. */
	const areShorter = (steps: readonly ConfigStep[]): boolean => countInsertedCharacters(steps) <= (holder.get()?.text.length ?? 0);

	return version => {
		if (holder.getVersion() !== cachedVersion) {
			cachedVersion = holder.getVersion();
			stepAnswers.clear();
			wholeAnswer = undefined;
		}

		const steps = holder.listSteps(version);
		if (steps === undefined || !areShorter(steps)) {
			// All versions without usable steps share one answer, so that arbitrary version numbers do not fill the cache.
			wholeAnswer ??= encodeWholeAnswer();
			return wholeAnswer;
		}

		const stepAnswer = stepAnswers.get(version) ?? encodeConfigAnswer({type: 'steps', steps});
		stepAnswers.set(version, stepAnswer);
		return stepAnswer;
	};
}
