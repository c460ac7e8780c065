/**
 * Modules of the runtime that a node does not need at its start, and often
 * never. Loading `node:crypto` and `node:zlib` is a tenth of what a start costs,
 * and neither is needed before the first change of a configuration.
 *
 * @module
 */
import type crypto from 'node:crypto';
import process from 'node:process';
import type zlib from 'node:zlib';

/**
 * @returns `node:crypto`, loaded at the first call.
 * @internal
 */
export function getCrypto(): typeof crypto {
	return process.getBuiltinModule('node:crypto');
}

/**
 * @returns `node:zlib`, loaded at the first call.
 * @internal
 */
export function getZlib(): typeof zlib {
	return process.getBuiltinModule('node:zlib');
}
