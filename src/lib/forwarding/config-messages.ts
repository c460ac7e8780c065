/**
 * Messages by which one node transfers the configuration to another, as heads and
 * bodies of frames.
 *
 * @module
 */
import {Buffer} from 'node:buffer';
import {compressText, decodeCompressedText} from '../common/compress-text.js';
import {parseConfigSteps, type ConfigStep} from '../route-config/config-history.js';

/** The configuration that a node gets from another node. @internal */
export type ConfigAnswer =
	/** The whole configuration as the store holds it. */
	| {readonly type: 'whole'; readonly text: string}
	/** Deltas to apply to the version that the requesting node has. */
	| {readonly type: 'steps'; readonly steps: readonly ConfigStep[]};

/**
 * Encodes a request for the configuration.
 *
 * @param version - The version that the requesting node has; 0 if it has none or wants the whole configuration.
 * @returns The head of the frame.
 * @internal
 */
export function encodeConfigRequest(version: number): readonly [number] {
	return [version];
}

/**
 * Decodes a request for the configuration.
 *
 * @param head - The head of the frame.
 * @returns The version that the requesting node has; 0 if the head holds no version, so that the node gets the whole configuration.
 * @internal
 */
export function decodeConfigRequest(head: unknown): number {
	const [version] = Array.isArray(head) ? head as unknown[] : [];
	return Number.isSafeInteger(version) ? version as number : 0;
}

/** Head and body of the frame of an answer. @internal */
export type EncodedConfigAnswer = {readonly head: readonly [string]; readonly body: Uint8Array};

/**
 * Encodes an answer to a request for the configuration.
 *
 * @param answer - The answer; `undefined` if this node has no configuration.
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
	const text = decodeCompressedText(body);
	if (type === 'whole') {
		return {type, text};
	}

	const steps = parseConfigSteps(JSON.parse(text));
	return steps === undefined ? undefined : {type, steps};
}

/**
 * Decodes an answer to a request for the configuration.
 *
 * @param head - The head of the frame.
 * @param body - The body of the frame.
 * @returns The answer; `undefined` if it holds no configuration or is malformed.
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
		// The requesting node treats a malformed answer like a missing one and repeats its request.
		return undefined;
	}
}
