/**
 * The error for bytes that are not a valid HTTP response.
 *
 * @module
 */

/** The bytes received from the backend server are not a valid HTTP/1.1 response. @internal */
export class ResponseFormatError extends Error {}
