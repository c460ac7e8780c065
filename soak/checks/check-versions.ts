/**
 * Checks from how requests were handled which configurations can have been in
 * force, and that nodes neither fall back nor lag.
 *
 * @module
 */
import {
	collectBy, isDisturbed, type CallRecord, type ChangeRecord, type Lifetime, type RunRecord, type SoakRecord, type Violation,
} from '../record.js';
import {getService} from '../soak-config.js';

/** Configurations, by index, that handle a request as it was handled. */
type Evidence = {readonly call: CallRecord; readonly lowest: number; readonly highest: number};

/** A calm node has had no disturbance for this long. Milliseconds. */
const contactMs = 5000;

const notFound = 404;

function listWritten(changes: readonly ChangeRecord[], until: number): readonly number[] {
	return changes.filter(({writtenAt}) => writtenAt <= until).map(({index}) => index);
}

/** What a request shows; `undefined` if it was neither run nor found without a route. */
function readEvidence(call: CallRecord, runs: readonly RunRecord[], changes: readonly ChangeRecord[]): Evidence | undefined {
	const isMissing = call.status === notFound;
	// A request that ran twice may have been sent by one configuration and the next.
	const service = runs.length === 1 ? runs[0]?.service : undefined;
	if (!isMissing && service === undefined) {
		return undefined;
	}

	const handling = listWritten(changes, call.endedAt).filter(index => getService(call.route, index) === (isMissing ? undefined : service));
	return {call, lowest: Math.min(...handling), highest: Math.max(...handling)};
}

function findLifetime(lifetimes: readonly Lifetime[], call: CallRecord): Lifetime | undefined {
	return lifetimes.findLast(({node, startedAt}) => node === call.node && startedAt <= call.endedAt);
}

/** Requests that a node handled by an older configuration than one that it had in force before they were sent. */
function listFalls(evidences: readonly Evidence[]): readonly Violation[] {
	const inOrder = evidences.toSorted((left, right) => left.call.sentAt - right.call.sentAt);
	return inOrder.flatMap(({call, highest}) => {
		const newer = evidences.find(one => one.call.endedAt < call.sentAt && one.lowest > highest);
		return newer === undefined
			? []
			: [{
				promise: 'a version never falls', at: call.endedAt, call: call.id,
				what: `${call.id} on ${call.node} was handled by configuration ${highest} at the newest, after ${newer.call.id} by ${newer.lowest} at the oldest`,
			}];
	});
}

/** What a check of configurations needs to know beside the record. */
export type VersionBounds = {
	/** Milliseconds from the store's acknowledgement until a configuration has to be in force at calm nodes. */
	readonly applyMs: number;
};

function checkLag(record: SoakRecord, {call, highest}: Evidence, {applyMs}: VersionBounds): readonly Violation[] {
	const due = Math.max(0, ...listWritten(record.changes, call.sentAt - applyMs));
	if (highest >= due) {
		return [];
	}

	const isCalm = !isDisturbed(record, call.sentAt - applyMs - contactMs, call.endedAt, ({part, node}) => part === 'store' || ((part === 'node' || part === 'store-link') && node === call.node));
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
export function checkVersions(record: SoakRecord, bounds: VersionBounds): readonly Violation[] {
	const runsOf = collectBy(record.runs, ({id}) => id);
	const evidences = record.calls.flatMap(call => readEvidence(call, runsOf.get(call.id) ?? [], record.changes) ?? []);
	const impossible = evidences.filter(({lowest}) => lowest === Infinity).map(({call}) => ({
		promise: 'handled by a configuration', at: call.endedAt, call: call.id, what: `${call.id} on ${call.node} was answered ${call.status}, as no configuration allows`,
	}));
	const possible = evidences.filter(({lowest}) => lowest !== Infinity);
	const lifetimes = collectBy(possible, ({call}) => findLifetime(record.lifetimes, call));
	return [
		...impossible,
		...[...lifetimes.values()].flatMap(own => listFalls(own)),
		...possible.flatMap(evidence => checkLag(record, evidence, bounds)),
	];
}
