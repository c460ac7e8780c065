/**
 * Checks from how requests were handled which configurations can have been in
 * force, and that nodes neither fall back nor lag.
 *
 * @module
 */
import {
	groupBy, isDisturbed, type CallRecord, type ChangeRecord, type Lifetime, type RunRecord, type SoakRecord, type Violation,
} from '../record.js';
import {getRouteService} from '../soak-config.js';

/** Configurations, by index, that handle a request as it was handled. */
type ConfigRange = {readonly call: CallRecord; readonly lowest: number; readonly highest: number};

/** A calm node has had no disturbance for this long. Milliseconds. */
const marginMs = 5000;

const notFound = 404;

function listWrittenConfigs(changes: readonly ChangeRecord[], until: number): readonly number[] {
	return changes.filter(({writtenAt}) => writtenAt <= until).map(({index}) => index);
}

/** What a request shows; `undefined` if it was neither run nor found without a route. */
function computeConfigRange(call: CallRecord, runs: readonly RunRecord[], changes: readonly ChangeRecord[]): ConfigRange | undefined {
	const isMissing = call.status === notFound;
	// A request that ran twice may have been sent by one configuration and the next.
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

/** Requests that a node handled by an older configuration than one that it had in force before they were sent. */
function listRollbacks(ranges: readonly ConfigRange[]): readonly Violation[] {
	const inOrder = ranges.toSorted((left, right) => left.call.sentAt - right.call.sentAt);
	return inOrder.flatMap(({call, highest}) => {
		const newer = ranges.find(other => other.call.endedAt < call.sentAt && other.lowest > highest);
		return newer === undefined
			? []
			: [{
				promise: 'a version never falls', at: call.endedAt, call: call.id,
				what: `${call.id} on ${call.node} was handled by configuration ${highest} at the newest, after ${newer.call.id} by ${newer.lowest} at the oldest`,
			}];
	});
}

/** What a check of configurations needs to know beside the record. */
export type VersionCheckSettings = {
	/** Milliseconds from the store's acknowledgement until a configuration has to be in force at calm nodes. */
	readonly applyMs: number;
};

function checkLag(record: SoakRecord, {call, highest}: ConfigRange, {applyMs}: VersionCheckSettings): readonly Violation[] {
	const due = Math.max(0, ...listWrittenConfigs(record.changes, call.sentAt - applyMs));
	if (highest >= due) {
		return [];
	}

	const isCalm = !isDisturbed(record, call.sentAt - applyMs - marginMs, call.endedAt, ({part, node}) => part === 'store' || ((part === 'node' || part === 'store-link') && node === call.node));
	return isCalm
		? [{
			promise: 'in force in time', at: call.endedAt, call: call.id,
			what: `${call.id} on the calm node ${call.node} was handled by configuration ${highest} at the newest, though ${due} was written ${applyMs} ms before`,
		}]
		: [];
}

/**
 * @param record - What was seen.
 * @param bounds - How long a change may take.
 * @returns Requests that were handled by the wrong configuration.
 */
export function checkVersions(record: SoakRecord, bounds: VersionCheckSettings): readonly Violation[] {
	const runsByCall = groupBy(record.runs, ({id}) => id);
	const ranges = record.calls.flatMap(call => computeConfigRange(call, runsByCall.get(call.id) ?? [], record.changes) ?? []);
	const impossible = ranges.filter(({lowest}) => lowest === Infinity).map(({call}) => ({
		promise: 'handled by a configuration', at: call.endedAt, call: call.id, what: `${call.id} on ${call.node} was answered ${call.status}, as no configuration allows`,
	}));
	const possible = ranges.filter(({lowest}) => lowest !== Infinity);
	const lifetimes = groupBy(possible, ({call}) => findLifetime(record.lifetimes, call));
	return [
		...impossible,
		...[...lifetimes.values()].flatMap(own => listRollbacks(own)),
		...possible.flatMap(range => checkLag(record, range, bounds)),
	];
}
