/**
 * Typed identifiers. Each is a string at run time; the brand stops one kind
 * from being handed over where another is expected.
 *
 * @module
 */

/** A string that only functions of this module hand out as an identifier of its kind. */
type Branded<Kind extends string> = string & {readonly __kind: Kind};

/** Names one node of the mesh; unique over the fleet. @public */
export type NodeId = Branded<'NodeId'>;

/** Names one backend server; unique over the fleet. @public */
export type BackendServerId = Branded<'BackendServerId'>;

/** Names one failure domain of the platform. @public */
export type FailureDomain = Branded<'FailureDomain'>;

/** Names one call through the mesh. @public */
export type CallId = Branded<'CallId'>;

/** Names one submission; chosen by the operator's client. @public */
export type SubmissionId = Branded<'SubmissionId'>;

/** A SHA-256 digest, base64url without padding. @public */
export type Digest = Branded<'Digest'>;

/** An IP number and a port, as in `127.0.0.1:7000`. @public */
export type Address = Branded<'Address'>;

/**
 * @param text - The id as the settings name it.
 * @returns The same text, as a node's id.
 * @public
 */
export const toNodeId = (text: string): NodeId => text as NodeId;

/**
 * @param text - The id as the server announced it.
 * @returns The same text, as a backend server's id.
 * @public
 */
export const toBackendServerId = (text: string): BackendServerId => text as BackendServerId;

/**
 * @param text - The name as the settings give it.
 * @returns The same text, as a failure domain.
 * @public
 */
export const toFailureDomain = (text: string): FailureDomain => text as FailureDomain;

/**
 * @param text - A fresh id, or one from a header.
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
 * @param text - An IP number and a port, checked by `isAddress` where it enters.
 * @returns The same text, as an address.
 * @public
 */
export const toAddress = (text: string): Address => text as Address;
