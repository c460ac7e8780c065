/**
 * Decides at the entry for which workspace a request runs, and whether it may
 * still run after the configuration has changed.
 *
 * @module
 */
import {type IncomingMessage} from 'node:http';
import {type ActiveConfig} from '../route-config/config-holder.js';
import {type RouteRule} from '../route-config/route-config.js';
import {authenticateRequest, type Authentication, type WorkspaceHeaderNames} from '../workspaces/authenticate-request.js';
import {type Workspace} from '../workspaces/workspace.js';
import {removeHopByHopHeaders, type CallHeaderNames} from './call-headers.js';
import {createNotRun, type ForwardFailure} from './forward-result.js';

/** The parts of a request that are needed. @internal */
export type CredentialedRequest = Pick<IncomingMessage, 'headers' | 'rawHeaders'>;

/** A request that was accepted by a configuration. @internal */
export type AcceptedRequest = {
	readonly request: CredentialedRequest;
	readonly route: RouteRule;
	readonly activeConfig: ActiveConfig;
	/** `undefined` if the request has no key. */
	readonly workspace: Workspace | undefined;
};

/** @internal */
export type AccessContext = {
	readonly headerNames: WorkspaceHeaderNames;
	readonly getConfig: () => ActiveConfig | undefined;
	/** Whether this node knows of a newer configuration than the one it holds. */
	readonly isConfigOutdated: () => boolean;
};

/** Retry delay while this node has an outdated configuration, in milliseconds. Most nodes get the newer one within this time. @internal */
export const outdatedConfigRetryMs = 300;

/**
 * @param activeConfig - The configuration to look the key up in.
 * @param request - The request.
 * @param route - Its route.
 * @param names - The names of the headers.
 * @returns The workspace of the request, or why there is none.
 * @internal
 */
export function authenticateCaller(activeConfig: ActiveConfig, {rawHeaders}: CredentialedRequest, {allowsAnonymous}: RouteRule, names: WorkspaceHeaderNames): Authentication {
	return authenticateRequest(activeConfig.workspaces, {rawHeaders, allowsAnonymous}, names);
}

/** Looks the key up again in a configuration that has become active since the request was accepted. */
function checkAgain({headerNames, isConfigOutdated}: AccessContext, current: ActiveConfig, {request, route, workspace}: AcceptedRequest): ForwardFailure | undefined {
	const authentication = authenticateCaller(current, request, route, headerNames);
	if (authentication.type === 'refused') {
		// An even newer version may hold the key again, so that a final refusal could be wrong.
		return isConfigOutdated()
			? createNotRun('config-outdated', 'the key is unknown, but this node has not received the newest configuration version yet', outdatedConfigRetryMs)
			: createNotRun('unauthorized', 'the key was withdrawn while the request waited');
	}

	const name = authentication.type === 'authenticated' ? authentication.workspace.name : undefined;
	return name === workspace?.name ? undefined : createNotRun('workspace-changed', 'the key was moved to another workspace while the request waited');
}

/**
 * Creates the check that runs before each attempt of a request. While the configuration stays the same, it compares one reference.
 *
 * @param context - The names of the headers, and the active configuration.
 * @param accepted - The request, and how it was accepted.
 * @returns A function that returns why the request must not be sent to a server any more; `undefined` while it may be.
 * @internal
 */
export function createAccessCheck(context: AccessContext, accepted: AcceptedRequest): () => ForwardFailure | undefined {
	return () => {
		const current = context.getConfig();
		if (current === undefined || current === accepted.activeConfig || (accepted.activeConfig.workspaces.isEmpty && current.workspaces.isEmpty)) {
			return undefined;
		}

		return checkAgain(context, current, accepted);
	};
}

/**
 * Chooses the headers to forward. The name of a workspace that the caller sent is always removed; its credentials are removed where the configuration has workspaces.
 * Headers that the gate sets anew for each attempt are left out, so that a request between nodes is about 100 bytes shorter.
 *
 * @param activeConfig - The configuration that accepted the request.
 * @param request - The request.
 * @param names - The names of the headers.
 * @returns The headers, in a new object.
 * @internal
 */
export function filterCallerHeaders({workspaces}: ActiveConfig, {headers}: CredentialedRequest, names: CallHeaderNames): Record<string, string | string[]> {
	const replaced = [names.callId, names.timeLeft, names.expectedServer, names.callerService, names.workspace];
	return removeHopByHopHeaders(headers, workspaces.isEmpty ? replaced : [...replaced, names.authorization]);
}
