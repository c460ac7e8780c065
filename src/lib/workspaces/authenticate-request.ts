/**
 * Identifies the workspace of a request by the key in its headers.
 *
 * @module
 */
import {type Workspace} from './workspace.js';
import {type WorkspaceIndex} from './workspace-index.js';

/** Names of the headers, in lower case, and the scheme of the credentials. @internal */
export type WorkspaceHeaderNames = {
	/** Credentials of the caller. */
	readonly authorization: string;
	/** Scheme of the credentials. */
	readonly authorizationScheme: string;
	/** Name of the workspace, for the backend server. */
	readonly workspace: string;
};

/** Why a request is not authenticated. @internal */
export type AuthenticationFailure = 'missing-key' | 'repeated-header' | 'malformed-credentials' | 'unknown-key';

/** @internal */
export type Authentication =
	/** No key is needed. */
	| {readonly type: 'anonymous'}
	| {readonly type: 'authenticated'; readonly workspace: Workspace}
	| {readonly type: 'refused'; readonly cause: AuthenticationFailure};

/** The parts of a request that identify its caller. @internal */
export type RequestCredentials = {
	/** Names and values by turns, as received. */
	readonly rawHeaders: readonly string[];
	/** Whether the route accepts requests without a key. */
	readonly allowsAnonymous: boolean;
};

const keyPattern = /^[\u0021-\u007E]{1,256}$/;

/** The form of a key that a request can carry, for error messages. @internal */
export const keyForm = '1 to 256 visible ASCII characters';

/**
 * @param key - A key.
 * @returns Whether a request can carry it.
 * @internal
 */
export const isKeyForm = (key: string): boolean => keyPattern.test(key);

const anonymous: Authentication = {type: 'anonymous'};

function listValues(rawHeaders: readonly string[], name: string): readonly string[] {
	const values: string[] = [];
	for (let index = 0; index + 1 < rawHeaders.length; index += 2) {
		// Compares the lengths first, since this runs for each header of each request.
		if (rawHeaders[index]!.length === name.length && rawHeaders[index]!.toLowerCase() === name) {
			values.push(rawHeaders[index + 1]!);
		}
	}

	return values;
}

/** Returns the key in the value of the header; `undefined` if the value is malformed. Schemes are case-insensitive. */
function parseKey(value: string, scheme: string): string | undefined {
	const separator = value.indexOf(' ');
	if (separator === -1 || value.slice(0, separator).toLowerCase() !== scheme) {
		return undefined;
	}

	const key = value.slice(separator + 1);
	return isKeyForm(key) ? key : undefined;
}

/**
 * @param cause - Why a request is not authenticated.
 * @returns What is wrong with the request, for its caller.
 * @internal
 */
export function describeAuthenticationFailure(cause: AuthenticationFailure): string {
	switch (cause) {
		case 'missing-key': {
			return 'the request has no key, and its route requires one';
		}

		case 'repeated-header': {
			return 'the request has credentials more than once';
		}

		case 'malformed-credentials': {
			return `the credentials are not the scheme, one space, and a key of ${keyForm}`;
		}

		case 'unknown-key': {
			return 'no workspace holds the key';
		}
	}
}

/**
 * Authenticates a request.
 *
 * @param index - The workspaces of the active configuration.
 * @param credentials - The headers of the request, and whether its route needs a key.
 * @param names - The names of the headers.
 * @returns The workspace, or why there is none. The result contains no part of the key.
 * @internal
 */
export function authenticateRequest(index: WorkspaceIndex, {rawHeaders, allowsAnonymous}: RequestCredentials, names: WorkspaceHeaderNames): Authentication {
	if (index.isEmpty) {
		return anonymous;
	}

	const [value, ...others] = listValues(rawHeaders, names.authorization);
	if (value === undefined) {
		return allowsAnonymous ? anonymous : {type: 'refused', cause: 'missing-key'};
	}

	if (others.length > 0) {
		return {type: 'refused', cause: 'repeated-header'};
	}

	const key = parseKey(value, names.authorizationScheme);
	if (key === undefined) {
		return {type: 'refused', cause: 'malformed-credentials'};
	}

	const workspace = index.findByKey(key);
	return workspace === undefined ? {type: 'refused', cause: 'unknown-key'} : {type: 'authenticated', workspace};
}
