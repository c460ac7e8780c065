/**
 * Why a node could not start.
 *
 * @module
 */

/** @public */
export type StartError = {
	readonly type: 'cannot-listen';
	/** Which of the settings' addresses. */
	readonly port: string;
	readonly address: string;
	readonly reason: string;
};

const remedies: ReadonlyMap<string, string> = new Map([
	['EADDRINUSE', 'another process uses it; stop that process or choose another port'],
	['EADDRNOTAVAIL', 'this VM does not have that IP number; correct the settings'],
	['EACCES', 'this user may not listen there; choose a port above 1023'],
]);

/**
 * @param port - Which of the settings' addresses.
 * @param address - The address.
 * @param error - What the system said.
 * @returns The error, with the remedy.
 * @internal
 */
export function createStartError(port: string, address: string, error: unknown): StartError {
	const {code = '', message = String(error)} = error as {readonly code?: string; readonly message?: string};
	return {
		type: 'cannot-listen', port, address, reason: remedies.get(code) ?? message,
	};
}

/**
 * @param error - The error.
 * @returns One line for people.
 * @public
 */
export function formatStartError(error: StartError): string {
	return `listen.${error.port}: cannot listen on ${error.address}: ${error.reason}`;
}
