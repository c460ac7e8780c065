/**
 * Loads modules of the runtime at their first use. Loading `node:crypto` and
 * `node:zlib` takes a tenth of the processor time of a start, and neither is
 * needed before the first change of a configuration.
 *
 * @module
 */
import type crypto from 'node:crypto';
import process from 'node:process';
import type zlib from 'node:zlib';

/**
 * Returns the module `node:crypto`.
 *
 * @returns The module, loaded at the first call.
 * @internal
 */
export function getCrypto(): typeof crypto {
	return process.getBuiltinModule('node:crypto');
}

/**
 * Returns the module `node:zlib`.
 *
 * @returns The module, loaded at the first call.
 * @internal
 */
export function getZlib(): typeof zlib {
	return process.getBuiltinModule('node:zlib');
}
