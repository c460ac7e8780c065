/**
 * What nodes say to one another when one hands the configuration to another,
 * as heads and bodies of frames.
 *
 * @module
 */
import {Buffer} from 'node:buffer';
import {getZlib} from '../common/late-modules.js';
import {parseConfigSteps, type ConfigStep} from '../route-config/config-history.js';

/** What a node is sent. @internal */
export type ConfigAnswer =
	/** The configuration, as the store holds it. */
	| {readonly type: 'whole'; readonly text: string}
	/** How to make it out of the one that the node has. */
	| {readonly type: 'steps'; readonly steps: readonly ConfigStep[]};

/**
 * @param version - The version that the node which asks has; 0 if it has none, or wants the whole.
 * @returns The head of its frame.
 * @internal
 */
export function encodeConfigRequest(version: number): readonly [number] {
	return [version];
}

/**
 * @param head - Head of a frame.
 * @returns The version that the node which asks has; 0 if the head does not tell, so that it gets the whole.
 * @internal
 */
export function decodeConfigRequest(head: unknown): number {
	const [version] = Array.isArray(head) ? head as unknown[] : [];
	return Number.isSafeInteger(version) ? version as number : 0;
}

/** An answer as a frame takes it. @internal */
export type EncodedConfigAnswer = {readonly head: readonly [string]; readonly body: Uint8Array};

/** Configurations are much the same from route to route: the fastest compression makes them some eight times smaller. */
const compressionOptions = {level: 1} as const;

/** The largest text that is taken from another node, in bytes: several times what the store of the users holds in a value. */
const maxInflatedBytes = 16_777_216;

const compressText = (text: string): Uint8Array => getZlib().deflateRawSync(Buffer.from(text), compressionOptions);

/**
 * @param answer - What is sent; `undefined` for nothing.
 * @returns Head and body of the frame.
 * @internal
 */
export function encodeConfigAnswer(answer: ConfigAnswer | undefined): EncodedConfigAnswer {
	switch (answer?.type) {
		case undefined: {
			return {head: ['none'], body: Buffer.alloc(0)};
		}

		case 'whole': {
			return {head: ['whole'], body: compressText(answer.text)};
		}

		case 'steps': {
			return {head: ['steps'], body: compressText(JSON.stringify(answer.steps))};
		}
	}
}

function decodeBody(type: 'whole' | 'steps', body: Uint8Array): ConfigAnswer | undefined {
	const text = getZlib().inflateRawSync(body, {maxOutputLength: maxInflatedBytes}).toString();
	if (type === 'whole') {
		return {type, text};
	}

	const steps = parseConfigSteps(JSON.parse(text));
	return steps === undefined ? undefined : {type, steps};
}

/**
 * @param head - Head of a frame.
 * @param body - Its body.
 * @returns What was sent; `undefined` for nothing, and for what cannot be read.
 * @internal
 */
export function decodeConfigAnswer(head: unknown, body: Uint8Array): ConfigAnswer | undefined {
	const [type] = Array.isArray(head) ? head as unknown[] : [];
	if (type !== 'whole' && type !== 'steps') {
		return undefined;
	}

	try {
		return decodeBody(type, body);
	} catch {
		// Whoever asked takes it as no answer, and asks again.
		return undefined;
	}
}
