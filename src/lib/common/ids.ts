/**
 * Branded identifier types. Each is a string at run time; the brand keeps one
 * kind of identifier from being passed where another kind is expected.
 *
 * @module
 */

/** A string that only the functions of this module convert to an identifier of its kind. */
type Branded<Kind extends string> = string & {readonly __kind: Kind};

/** Identifies a node of the mesh; unique in the fleet. @public */
export type NodeId = Branded<'NodeId'>;

/** Identifies a backend server; unique in the fleet. @public */
export type BackendServerId = Branded<'BackendServerId'>;

/** The name of a failure domain of the platform. @public */
export type FailureDomain = Branded<'FailureDomain'>;

/** Identifies a call through the mesh. @public */
export type CallId = Branded<'CallId'>;

/** Identifies a submission; chosen by the operator's client. @public */
export type SubmissionId = Branded<'SubmissionId'>;

/** A SHA-256 digest, base64url without padding. @public */
export type Digest = Branded<'Digest'>;

/** An IP address and a port, as in `127.0.0.1:7000`. @public */
export type Address = Branded<'Address'>;

/**
 * @param text - The id from the settings.
 * @returns The same text, as a node's id.
 * @public
 */
export const toNodeId = (text: string): NodeId => text as NodeId;

/**
 * @param text - The id that the server announced.
 * @returns The same text, as a backend server's id.
 * @public
 */
export const toBackendServerId = (text: string): BackendServerId => text as BackendServerId;

/**
 * @param text - The name from the settings.
 * @returns The same text, as a failure domain.
 * @public
 */
export const toFailureDomain = (text: string): FailureDomain => text as FailureDomain;

/**
 * @param text - A new id, or one from a header.
 * @returns The same text, as a call's id.
 * @public
 */
export const toCallId = (text: string): CallId => text as CallId;

/**
 * @param text - The id that the client chose.
 * @returns The same text, as a submission's id.
 * @public
 */
export const toSubmissionId = (text: string): SubmissionId => text as SubmissionId;

/**
 * @param text - A digest that was computed or received.
 * @returns The same text, as a digest.
 * @public
 */
export const toDigest = (text: string): Digest => text as Digest;

/**
 * @param text - An IP address and a port; input from other processes is checked with `isAddress` first.
 * @returns The same text, as an address.
 * @public
 */
export const toAddress = (text: string): Address => text as Address;
