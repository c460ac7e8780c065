/**
 * The reason why a node could not start.
 *
 * @module
 */

/** @public */
export type StartError = {
	readonly type: 'cannot-listen';
	/** Name of the port, as in the `listen` settings. */
	readonly port: string;
	readonly address: string;
	/** How to solve the problem, or the message of the system error. */
	readonly reason: string;
};

/** Advice by code of the system error. */
const remedies: ReadonlyMap<string, string> = new Map([
	['EADDRINUSE', 'another process uses this port; stop that process or choose another port'],
	['EADDRNOTAVAIL', 'this VM does not have this IP address; correct the address in the settings'],
	['EACCES', 'this user has no permission to listen on this port; choose a port above 1023'],
]);

/**
 * Creates the error for a port that could not be opened.
 *
 * @param port - Name of the port, as in the `listen` settings.
 * @param address - The address.
 * @param error - The system error.
 * @returns The error, with advice if the code of the system error is known.
 * @internal
 */
export function createStartError(port: string, address: string, error: unknown): StartError {
	const {code = '', message = String(error)} = error as {readonly code?: string; readonly message?: string};
	return {
		type: 'cannot-listen', port, address, reason: remedies.get(code) ?? message,
	};
}

/**
 * Formats a start error for an operator.
 *
 * @param error - The error.
 * @returns One line of text.
 * @public
 */
export function formatStartError(error: StartError): string {
	return `listen.${error.port}: cannot listen on ${error.address}: ${error.reason}`;
}
