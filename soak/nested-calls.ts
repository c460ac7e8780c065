/**
 * The calls that a backend server of a soak makes through the node beside it for some of
 * the requests that it executes, a few of them after long work.
 *
 * @module
 */
import {Agent} from 'node:http';
import {setTimeout as sleep} from 'node:timers/promises';
import {sendRecordedCall} from './callers.js';
import {type CallRecord} from './record.js';
import {getRoutePrefix, keys, steadyRoutes} from './soak-config.js';
import {type SoakNode} from './soak-node.js';

/** One of this many requests needs a call. */
const nestedOneIn = 8;

/** One of this many calls is made after long work. */
const longWorkOneIn = 4;

/** Long work: a request that a stopping node has taken makes its call after the time at which the listener of an idle node has closed. */
const longWorkMs = 1500;

/** Requests with less time left make no call. */
const minLeftMs = 100;

/**
 * Creates the function that makes the calls of one server.
 *
 * @param node - The node beside the server.
 * @param handleCall - Called with each call when it has ended.
 * @returns Makes the call of a request, if it needs one. The request succeeds whatever the call gets.
 */
export function createNestedCalls({name, callerAddress}: SoakNode, handleCall: (call: CallRecord) => void): (leftMs: number) => Promise<boolean> {
	const agent = new Agent({keepAlive: true});
	const route = steadyRoutes.find(({isSafe}) => isSafe)!;
	let requests = 0;
	let calls = 0;

	const callOnce = async (leftMs: number): Promise<void> => {
		calls++;
		const number = calls;
		const workMs = number % longWorkOneIn === 0 ? Math.min(longWorkMs, leftMs / 2) : 0;
		await sleep(workMs);
		const timeLeftMs = Math.round(leftMs - workMs);
		const id = `${name}-nested-${number}`;
		handleCall(await sendRecordedCall(callerAddress, {
			id, node: name, route, method: 'GET', target: `${getRoutePrefix(route)}${id}`, key: keys.steady[0], body: '', timeLeftMs, isNested: true,
		}, {leaveAfterMs: timeLeftMs, agent: number % 2 === 0 ? agent : undefined}));
	};

	return async leftMs => {
		requests++;
		if (requests % nestedOneIn === 0 && leftMs > minLeftMs) {
			await callOnce(leftMs);
		}

		return true;
	};
}
