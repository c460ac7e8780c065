/**
 * Infers from the handling of requests which configurations can have been in
 * force, and checks that nodes neither roll back nor lag behind.
 *
 * @module
 */
import {
	groupBy, isDisturbed, type CallRecord, type ChangeRecord, type Lifetime, type RunRecord, type SoakRecord, type Violation,
} from '../record.js';
import {getRouteService} from '../soak-config.js';

/** The lowest and highest index of the configurations that handle a request as it was handled. */
type ConfigRange = {readonly call: CallRecord; readonly lowest: number; readonly highest: number};

/** How long a node has to be without disturbances to count as undisturbed. */
const marginMs = 5000;

const notFound = 404;

/** Returns the indexes of the configurations that were written until a time. */
export function listWrittenConfigs(changes: readonly ChangeRecord[], until: number): readonly number[] {
	return changes.filter(({writtenAt}) => writtenAt <= until).map(({index}) => index);
}

/** Returns the configurations that a request may have been handled by; `undefined` if it was neither executed once nor answered with 404. */
function computeConfigRange(call: CallRecord, runs: readonly RunRecord[], changes: readonly ChangeRecord[]): ConfigRange | undefined {
	const isMissing = call.status === notFound;
	// The attempts of a request that was executed twice may have used two different configurations.
	const service = runs.length === 1 ? runs[0]?.service : undefined;
	if (!isMissing && service === undefined) {
		return undefined;
	}

	const matching = listWrittenConfigs(changes, call.endedAt).filter(index => getRouteService(call.route, index) === (isMissing ? undefined : service));
	return {call, lowest: Math.min(...matching), highest: Math.max(...matching)};
}

function findLifetime(lifetimes: readonly Lifetime[], call: CallRecord): Lifetime | undefined {
	return lifetimes.findLast(({node, startedAt}) => node === call.node && startedAt <= call.endedAt);
}

/** Returns the requests that a node handled by an older configuration than an earlier request. */
function listRollbacks(ranges: readonly ConfigRange[]): readonly Violation[] {
	const inOrder = ranges.toSorted((left, right) => left.call.sentAt - right.call.sentAt);
	return inOrder.flatMap(({call, highest}) => {
		const newer = ranges.find(other => other.call.endedAt < call.sentAt && other.lowest > highest);
		return newer === undefined
			? []
			: [{
				promise: 'a version never falls', at: call.endedAt, call: call.id,
				what: `${call.id} on ${call.node} was handled by configuration ${highest} or older, after ${newer.call.id} was handled by ${newer.lowest} or newer`,
			}];
	});
}

/** Settings of the check of configurations. */
export type VersionCheckSettings = {
	/** Time from the write of a configuration until it has to be in force at undisturbed nodes. */
	readonly applyMs: number;
};

/**
 * Returns whether the node that a request was sent to must have had the configurations that were written long enough before.
 *
 * @param record - What was observed.
 * @param call - The request.
 * @param bounds - The time limit.
 * @returns Whether neither the node nor the store was disturbed around that time.
 */
export function isCalmNode(record: SoakRecord, call: CallRecord, {applyMs}: VersionCheckSettings): boolean {
	return !isDisturbed(record, call.sentAt - applyMs - marginMs, call.endedAt, ({part, node}) => part === 'store' || ((part === 'node' || part === 'store-link') && node === call.node));
}

function checkLag(record: SoakRecord, {call, highest}: ConfigRange, {applyMs}: VersionCheckSettings): readonly Violation[] {
	const due = Math.max(0, ...listWrittenConfigs(record.changes, call.sentAt - applyMs));
	if (highest >= due) {
		return [];
	}

	return isCalmNode(record, call, {applyMs})
		? [{
			promise: 'in force in time', at: call.endedAt, call: call.id,
			what: `${call.id} on the undisturbed node ${call.node} was handled by configuration ${highest} or older, though ${due} had been written at least ${applyMs} ms before`,
		}]
		: [];
}

/**
 * Finds requests that were handled by a wrong configuration.
 *
 * @param record - What was observed.
 * @param bounds - The time limit.
 * @returns Requests that were handled by no configuration, by an older one than before, or by an outdated one.
 */
export function checkVersions(record: SoakRecord, bounds: VersionCheckSettings): readonly Violation[] {
	const runsByCall = groupBy(record.runs, ({id}) => id);
	const ranges = record.calls.flatMap(call => computeConfigRange(call, runsByCall.get(call.id) ?? [], record.changes) ?? []);
	const impossible = ranges.filter(({lowest}) => lowest === Infinity).map(({call}) => ({
		promise: 'handled by a configuration', at: call.endedAt, call: call.id, what: `${call.id} on ${call.node} got status ${call.status}, but no written configuration handles it this way`,
	}));
	const possible = ranges.filter(({lowest}) => lowest !== Infinity);
	const lifetimes = groupBy(possible, ({call}) => findLifetime(record.lifetimes, call));
	return [
		...impossible,
		...[...lifetimes.values()].flatMap(own => listRollbacks(own)),
		...possible.flatMap(range => checkLag(record, range, bounds)),
	];
}
