/**
 * Exit codes of the command line, as the operators' guide lists them.
 *
 * @module
 */
export const exitCodes = {
	done: 0,
	/** The input is wrong, or the mesh refused it; nothing was changed. */
	refused: 1,
	/** The command line itself is wrong. */
	usage: 2,
	/** No node, or the platform's store behind it, answers; nothing was changed. */
	unavailable: 3,
	/** It is not known whether the submission took effect: ask with its id. */
	unknown: 4,
	/** Accepted, but not in force everywhere in the time given. */
	notConverged: 5,
} as const;

/** An error that ends the command with a message and a code. */
export class CommandError extends Error {
	override readonly name = 'CommandError';

	constructor(message: string, readonly exitCode: number) {
		super(message);
	}
}
