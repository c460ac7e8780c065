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
import {decideStage, type RolloutView} from './decide-stage.js';
import {createExposureBudget} from './exposure-budget.js';
import {
	addOutcome, createTally, type Outcome, type OutcomeTally,
} from './outcome-tally.js';
import {
	createRecord, isRejected, isRunning, type RolloutOrder, type RolloutRecord,
} from './rollout-record.js';
import {createRolloutTable} from './rollout-table.js';
import {createVersionJudge, type VersionJudge, type VersionVerdict} from './version-judge.js';

/** A server of a service, as this node knows it. @internal */
export type KnownServer = {
	readonly server: ServerReport;
	/** Whether its node was heard lately. */
	readonly isHeard: boolean;
	/** Whether requests may be sent to it. */
	readonly isReachable: boolean;
};

/** Result of storing a record. `superseded`: the store has a record, or a later order, that goes before this one. @internal */
export type StoreOutcome = 'stored' | 'superseded' | 'unavailable';

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
	/** Moves the rollout of the own server's service to its next stage if it is due. Returns the servers that should get this node's outcomes now. */
	readonly handleRound: () => ReadonlySet<LifetimeKey>;
};

/** Number of servers of a version that are tested first: a majority of them has to agree on a bad version. */
const testedServerCount = 3;

/** Share of the exposure limit that is used. The rest is a margin for retries and for requests that are counted but refused. */
const usedExposureShare = 0.9;

/** Share of that which is used before the load test, for which the rest is saved. */
const canaryExposureShare = 0.6;

/** Time before a record that could not be stored is stored again. */
const storeRetryMs = 500;

/** Weight of the newest round in the moving average of the demand, which covers about two seconds. */
const demandWeight = 0.2;

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
	let judge: {readonly orderRevision: number; readonly judge: VersionJudge} | undefined;
	let storeAttemptedAt = Number.NEGATIVE_INFINITY;
	let isStoring = false;
	/** A decision of this node that is not in the store yet. */
	let unstored: RolloutRecord | undefined;
	let demand: number | undefined;

	const get = (service: string): RolloutRecord | undefined => table.count() === 0 ? undefined : table.get(service, readSteadyMs());

	const listServers = (service: string): readonly KnownServer[] => {
		const own = getOwnServer();
		const ownServers = own?.service === service ? [{server: own, isHeard: true, isReachable: true}] : [];
		return [...ownServers, ...listPeerServers(service)];
	};

	const computeView = ({service, targetVersion}: RolloutRecord): ServiceView => {
		const servers = listServers(service);
		const reachable = servers.filter(({isReachable}) => isReachable).map(({server}) => server);
		const targets = sortLifetimes(reachable.filter(server => server.version === targetVersion && server.state === 'ready'));
		return {
			tested: new Set(targets.slice(0, testedServerCount)),
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

	/** Stores a record, at most once per retry interval. */
	const store = async (record: RolloutRecord): Promise<StoreOutcome> => {
		const now = readSteadyMs();
		if (isStoring || now - storeAttemptedAt < storeRetryMs) {
			return 'unavailable';
		}

		isStoring = true;
		storeAttemptedAt = now;
		try {
			return await storeRecord(record);
		} finally {
			isStoring = false;
		}
	};

	const storeThenChange = async (record: RolloutRecord): Promise<void> => {
		if (await store(record) === 'stored') {
			changeStage(record);
		}
	};

	/** Stores a decision of this node. If the store is unavailable, the next round tries again. */
	const storeDecision = async (record: RolloutRecord): Promise<void> => {
		unstored = record;
		if (await store(record) !== 'unavailable') {
			unstored = undefined;
		}
	};

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

	const judgeVersion = (record: RolloutRecord, servers: readonly KnownServer[], tested: ReadonlySet<LifetimeKey>): VersionVerdict => {
		const orderRevision = record.position.revision;
		if (judge?.orderRevision !== orderRevision) {
			judge = {orderRevision, judge: createVersionJudge()};
		}

		const withTally = servers.flatMap(({server}) => server.tally?.orderRevision === orderRevision ? [{server, tally: server.tally}] : []);
		const targets = withTally.filter(({server}) => server.version === record.targetVersion && (record.stage === 'promoting' || tested.has(toLifetimeKey(server.lifetime))));
		const baseline = withTally.filter(({server}) => server.version !== record.targetVersion && !isRejected(record, server.version));
		return judge.judge.judge(targets.map(({server, tally}) => ({lifetime: toLifetimeKey(server.lifetime), tally})), baseline.map(({tally}) => tally));
	};

	/** Updates the moving average of the requests in work at all servers of the own service. */
	const updateDemand = (requests: number): number => {
		demand = demand === undefined ? requests : demand + (demandWeight * (requests - demand));
		return demand;
	};

	const createRolloutView = (record: RolloutRecord, tested: ReadonlySet<LifetimeKey>): RolloutView => {
		const servers = listServers(record.service);
		const targets = servers.filter(({server, isReachable}) => server.version === record.targetVersion && server.state === 'ready' && server.coldMs === 0 && isReachable);
		const others = servers.filter(({server}) => server.version !== record.targetVersion && !isRejected(record, server.version));
		const busy = others.filter(({server}) => server.state !== 'draining' || server.running + server.waiting > 0);
		return {
			record,
			reachableTargets: servers.filter(({server, isReachable}) => server.version === record.targetVersion && server.state === 'ready' && isReachable).length,
			verdict: judgeVersion(record, servers, tested),
			targetSlots: targets.reduce((sum, {server}) => sum + server.slots, 0),
			demand: updateDemand(servers.filter(({isHeard}) => isHeard).reduce((sum, {server}) => sum + server.running + server.waiting, 0)),
			busyOthers: busy.length,
			silentOthers: busy.filter(({isHeard}) => !isHeard).length,
		};
	};

	/** Decides on the next stage of a rollout of the own server's service. */
	const advance = (record: RolloutRecord, tested: ReadonlySet<LifetimeKey>): void => {
		const decision = decideStage(createRolloutView(record, tested));
		if (decision.type === 'stay') {
			return;
		}

		const next: RolloutRecord = {...record, stage: decision.stage, reason: decision.reason};
		if (decision.needsStore) {
			void storeThenChange(next);
			return;
		}

		changeStage(next);
		if (!isRunning(next)) {
			void storeDecision(next);
		}
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
		isWithheld: ({service, version, lifetime}) => (!isInformed && maxExposure !== undefined)
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
			if (unstored !== undefined) {
				void storeDecision(unstored);
			}

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
				advance(record, tested);
			}

			return tested.has(lifetime) ? tested : noLifetimes;
		},
	};
}
