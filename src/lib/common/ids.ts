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

/** @public */
export const toNodeId = (text: string): NodeId => text as NodeId;

/** @public */
export const toBackendServerId = (text: string): BackendServerId => text as BackendServerId;

/** @public */
export const toFailureDomain = (text: string): FailureDomain => text as FailureDomain;

/** @public */
export const toCallId = (text: string): CallId => text as CallId;

/** @public */
export const toSubmissionId = (text: string): SubmissionId => text as SubmissionId;

/** @public */
export const toDigest = (text: string): Digest => text as Digest;

/** @public */
export const toAddress = (text: string): Address => text as Address;
