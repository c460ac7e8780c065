/**
 * What is said of bytes that are no answer.
 *
 * @module
 */

/** Bytes that are no answer. @internal */
export class ResponseFormatError extends Error {}
