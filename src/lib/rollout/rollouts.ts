/**
 * The part of one node in the rollouts of all services: limits what its entry
 * sends to a version under test, admits or refuses requests at its gate, counts
 * outcomes, and moves rollouts of its own server's service to their next stage.
 *
 * @module
 */
import {readSteadyMs} from '../common/clock.js';
import {toLifetimeKey, type LifetimeKey} from '../common/server-lifetime.js';
import {type ServerReport} from '../peers/peer-report.js';
import {type MeshLog} from '../timeline/mesh-log.js';
import {admitAtGate, mayReceive, type VersionAdmission} from './admit-version.js';
import {createExposureBudget} from './exposure-budget.js';
import {
	addOutcome, createTally, type Outcome, type OutcomeTally,
} from './outcome-tally.js';
import {
	createRecord, isRunning, type RolloutOrder, type RolloutRecord,
} from './rollout-record.js';
import {createRolloutDecider, type KnownServer, type StoreOutcome} from './rollout-decider.js';
import {createRolloutTable} from './rollout-table.js';

/** @internal */
export type RolloutsContext = {
	/** Largest share of the requests of a service that a version under test may get; `undefined` if the platform has no rollouts. */
	readonly maxExposure: number | undefined;
	readonly log: MeshLog;
	readonly random: () => number;
	/** Returns the server beside this node. */
	readonly getOwnServer: () => ServerReport | undefined;
	/** Lists the servers of a service beside other nodes. */
	readonly listPeerServers: (service: string) => readonly KnownServer[];
	/** Called when the other nodes should learn of a change immediately. */
	readonly handleUrgentChange: () => void;
	/** Stores a record, if the store has none that goes before it. */
	readonly storeRecord: (record: RolloutRecord) => Promise<StoreOutcome>;
};

/** Where an entry may send a request. @internal */
export type VersionChoice = {
	readonly matches: (server: ServerReport) => boolean;
	/** Whether the gate may take the request as counted by this entry. */
	readonly isCounted: boolean;
};

/** The decisions for requests that a node sends. @internal */
export type EntryRollouts = {
	/** Counts a request that is about to be sent to a service. */
	readonly recordRequest: (service: string, route: string) => void;
	/** Returns the servers that may get an ordinary request; `undefined` for all. */
	readonly chooseServers: (service: string) => VersionChoice | undefined;
	/** Returns the servers of a version under test, if the request may be sent there. */
	readonly chooseTestedServers: (service: string, route: string) => VersionChoice | undefined;
	readonly recordExposure: (service: string, route: string) => void;
	readonly releaseExposure: (service: string, route: string) => void;
};

/** The decisions for requests to the server beside a node. @internal */
export type GateRollouts = {
	readonly admit: (server: Pick<ServerReport, 'service' | 'version' | 'lifetime'>, isCounted: boolean) => VersionAdmission;
	/** Returns whether outcomes of the service are counted now. */
	readonly isCounting: (service: string) => boolean;
	readonly recordOutcome: (server: Pick<ServerReport, 'service' | 'lifetime'>, outcome: Outcome) => void;
	/** Returns the outcomes at the server since the order; `undefined` if none are counted. */
	readonly getTally: (server: Pick<ServerReport, 'service' | 'lifetime'>) => OutcomeTally | undefined;
	/** Returns whether the server accepts no requests because of a rollout. */
	readonly isWithheld: (server: Pick<ServerReport, 'service' | 'version' | 'lifetime'>) => boolean;
};

/** @internal */
export type Rollouts = EntryRollouts & GateRollouts & {
	/** Handles the orders that were read from the store. */
	readonly handleOrders: (orders: readonly RolloutOrder[]) => void;
	/** Merges the records of another node or of the store; `undefined` if the sender does not know whether there are any. */
	readonly merge: (records: readonly RolloutRecord[] | undefined, from: string) => void;
	/** Returns the known records; `undefined` until this node knows whether there are any. */
	readonly listRecords: () => readonly RolloutRecord[] | undefined;
	/** Moves the rollout of the own server's service to its next stage if it is due. Returns the servers whose nodes decide on it and should get this node's report now. */
	readonly handleRound: () => ReadonlySet<LifetimeKey>;
};

/** Number of servers of a version that are tested first: a majority of them has to agree on a bad version. */
const testedServerCount = 3;

/** Number of servers in the load test: in a small service, the limit on the exposure does not fill the slots of more. */
const loadedServerCount = 1;

/** Share of the exposure limit that is used. The rest is a margin for retries and for requests that are counted but refused. */
const usedExposureShare = 0.9;

/** Share of that which is used before the load test, for which the rest is saved. */
const canaryExposureShare = 0.6;

const noLifetimes: ReadonlySet<LifetimeKey> = new Set();

type OwnTally = {readonly lifetime: LifetimeKey; readonly tally: OutcomeTally};

/** What is cached of a service between two rounds. */
type ServiceView = {
	readonly tested: ReadonlySet<LifetimeKey>;
	readonly hasOthers: boolean;
	/** The server whose node decides if no server of the target version is reachable. */
	readonly substitute: LifetimeKey | undefined;
};

const sortLifetimes = (servers: readonly ServerReport[]): readonly LifetimeKey[] => servers.map(({lifetime}) => toLifetimeKey(lifetime)).toSorted((left, right) => left < right ? -1 : 1);

/**
 * @param context - The servers, the log and the store.
 * @returns The rollouts, none of which is known.
 * @internal
 */
export function createRollouts(context: RolloutsContext): Rollouts {
	const {maxExposure, log, random, getOwnServer, listPeerServers, handleUrgentChange, storeRecord} = context;
	const table = createRolloutTable();
	const budget = createExposureBudget(random);
	const views = new Map<string, ServiceView>();
	/** Lifetimes that a completed rollout has replaced. */
	const replaced = new Set<LifetimeKey>();
	let isInformed = maxExposure === undefined;
	let ownTally: OwnTally | undefined;

	const get = (service: string): RolloutRecord | undefined => table.count() === 0 ? undefined : table.get(service, readSteadyMs());

	const listServers = (service: string): readonly KnownServer[] => {
		const own = getOwnServer();
		const ownServers = own?.service === service ? [{server: own, isHeard: true, isReachable: true}] : [];
		return [...ownServers, ...listPeerServers(service)];
	};

	const computeView = ({service, targetVersion, stage}: RolloutRecord): ServiceView => {
		const servers = listServers(service);
		const reachable = servers.filter(({isReachable}) => isReachable).map(({server}) => server);
		const targets = sortLifetimes(reachable.filter(server => server.version === targetVersion && server.state === 'ready'));
		return {
			tested: new Set(targets.slice(0, stage === 'loading' ? loadedServerCount : testedServerCount)),
			hasOthers: servers.some(({server}) => server.version !== targetVersion),
			substitute: targets.length === 0 ? sortLifetimes(reachable)[0] : undefined,
		};
	};

	/** Returns the view of a service. It is computed once per round, since requests need it often. */
	const getView = (record: RolloutRecord): ServiceView => {
		const known = views.get(record.service);
		if (known !== undefined) {
			return known;
		}

		const view = computeView(record);
		views.set(record.service, view);
		return view;
	};

	/** Marks the server beside this node as replaced if the completed rollout withheld requests from it. */
	const recordReplaced = (record: RolloutRecord, before: RolloutRecord | undefined): void => {
		const own = getOwnServer();
		if (record.stage === 'completed' && before?.stage === 'promoting' && own?.service === record.service && own.version !== record.targetVersion) {
			replaced.add(toLifetimeKey(own.lifetime));
		}
	};

	const merge = (records: readonly RolloutRecord[], from: string): void => {
		const now = readSteadyMs();
		const before = new Map(records.map(({service}) => [service, table.get(service, now)]));
		const changed = table.merge(records, now);
		for (const record of changed) {
			const {service, targetVersion, stage, reason, ageMs} = record;
			views.delete(service);
			recordReplaced(record, before.get(service));
			log.record('info', {
				kind: 'rollout-stage', service, targetVersion, order: record.position.revision, stage, reason, ageMs: Math.round(ageMs), from,
			});
		}
	};

	const changeStage = (record: RolloutRecord): void => {
		merge([record], 'this node');
		handleUrgentChange();
	};

	const decider = createRolloutDecider({storeRecord, handleDecision: changeStage});

	const getOwnTally = ({service, lifetime}: Pick<ServerReport, 'service' | 'lifetime'>): OutcomeTally | undefined => {
		const record = get(service);
		if (record === undefined || !isRunning(record)) {
			return undefined;
		}

		const key = toLifetimeKey(lifetime);
		if (ownTally?.lifetime !== key || ownTally.tally.orderRevision !== record.position.revision) {
			ownTally = {lifetime: key, tally: createTally(record.position.revision)};
		}

		return ownTally.tally;
	};

	/** Share of the requests of a route that may be sent to the target version. */
	const computeExposureShare = ({stage}: RolloutRecord): number => (maxExposure ?? 0) * usedExposureShare * (stage === 'canary' ? canaryExposureShare : 1);

	const isReplaced = ({lifetime}: Pick<ServerReport, 'lifetime'>): boolean => replaced.size > 0 && replaced.has(toLifetimeKey(lifetime));

	const admit: GateRollouts['admit'] = ({service, version, lifetime}, isCounted) => {
		if (!isInformed) {
			return {type: 'limited', detail: 'this node does not know yet whether the version is being tested'};
		}

		const record = get(service);
		const hasOthers = record !== undefined && isRunning(record) && getView(record).hasOthers;
		return admitAtGate(record, {version, isReplaced: isReplaced({lifetime})}, isCounted, hasOthers);
	};

	return {
		recordRequest(service, route) {
			const record = get(service);
			if (record !== undefined && isRunning(record)) {
				budget.recordRequest(service, route, record.position);
			}
		},
		chooseServers(service) {
			const record = get(service);
			if (record === undefined) {
				return undefined;
			}

			const hasOthers = isRunning(record) && getView(record).hasOthers;
			return {matches: ({version}) => mayReceive(record, version, hasOthers), isCounted: record.stage === 'promoting' || !hasOthers};
		},
		chooseTestedServers(service, route) {
			const record = get(service);
			if (record === undefined || (record.stage !== 'canary' && record.stage !== 'loading')) {
				return undefined;
			}

			const {tested, hasOthers} = getView(record);
			return hasOthers && tested.size > 0 && budget.hasRemaining(service, route, computeExposureShare(record))
				? {matches: ({lifetime}) => tested.has(toLifetimeKey(lifetime)), isCounted: true}
				: undefined;
		},
		recordExposure: budget.recordExposure,
		releaseExposure: budget.releaseExposure,
		admit,
		isCounting(service) {
			const record = get(service);
			return record !== undefined && isRunning(record);
		},
		recordOutcome(server, outcome) {
			const tally = getOwnTally(server);
			if (tally !== undefined && ownTally !== undefined) {
				ownTally = {...ownTally, tally: addOutcome(tally, outcome)};
			}
		},
		getTally: getOwnTally,
		isWithheld: ({service, version, lifetime}) => !isInformed
			|| isReplaced({lifetime}) || (table.count() > 0 && admitAtGate(get(service), {version, isReplaced: false}, true, true).type === 'withheld'),
		handleOrders(orders) {
			isInformed = true;
			merge(orders.map(order => createRecord(order)), 'store');
		},
		merge(records, from) {
			if (records !== undefined && maxExposure !== undefined) {
				isInformed = true;
				merge(records, from);
			}
		},
		listRecords: () => isInformed ? table.list(readSteadyMs()) : undefined,
		handleRound() {
			views.clear();
			decider.storePending();
			const own = getOwnServer();
			if (own === undefined) {
				return noLifetimes;
			}

			const record = get(own.service);
			if (record === undefined || !isRunning(record)) {
				return noLifetimes;
			}

			const lifetime = toLifetimeKey(own.lifetime);
			const {tested, substitute} = getView(record);
			if (own.version === record.targetVersion || substitute === lifetime) {
				decider.advance(record, listServers(record.service), tested);
			}

			// Heartbeats are too rare in a large mesh: the nodes that decide need the outcomes under test, and later that the others have finished.
			const isReportNeeded = record.stage === 'promoting' ? own.version !== record.targetVersion : tested.has(lifetime);
			return isReportNeeded ? tested : noLifetimes;
		},
	};
}
