/**
 * Exit codes of the command line, as documented in the operators' guide.
 *
 * @module
 */
export const exitCodes = {
	done: 0,
	/** The input is invalid, or the mesh refused it; nothing was changed. */
	refused: 1,
	/** The arguments of the command are invalid. */
	usage: 2,
	/** The node or the platform's store did not answer; nothing was changed. */
	unavailable: 3,
	/** It is unknown whether the submission took effect: query its id. */
	unknown: 4,
	/** The submission was accepted, but was not active on all nodes within the timeout. */
	notConverged: 5,
} as const;

/** An error that ends the command with a message and an exit code. */
export class CommandError extends Error {
	override readonly name = 'CommandError';

	constructor(message: string, readonly exitCode: number) {
		super(message);
	}
}
