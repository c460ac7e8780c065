/**
 * Judges the version of a rollout on a node beside one of its servers, moves the
 * rollout to its next stage, and stores the decisions of this node.
 *
 * @module
 */
import {readSteadyMs} from '../common/clock.js';
import {toLifetimeKey, type LifetimeKey} from '../common/server-lifetime.js';
import {type ServerReport} from '../peers/peer-report.js';
import {decideStage, type RolloutView} from './decide-stage.js';
import {isRejected, isRunning, type RolloutRecord} from './rollout-record.js';
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
export type RolloutDeciderContext = {
	/** Stores a record, if the store has none that goes before it. */
	readonly storeRecord: (record: RolloutRecord) => Promise<StoreOutcome>;
	/** Called with each decision that applies from now on. */
	readonly handleDecision: (record: RolloutRecord) => void;
};

/** @internal */
export type RolloutDecider = {
	/** Moves a rollout to its next stage if that is due. Call it once per round of heartbeats. */
	readonly advance: (record: RolloutRecord, servers: readonly KnownServer[], tested: ReadonlySet<LifetimeKey>) => void;
	/** Stores a decision of this node again that could not be stored. */
	readonly storePending: () => void;
};

/** Time before a record that could not be stored is stored again. */
const storeRetryMs = 500;

/** Weight of the newest round in the moving average of the demand, which covers about two seconds. */
const demandWeight = 0.2;

/**
 * @param context - The store, and the handler of decisions.
 * @returns A decider that has not seen any outcomes.
 * @internal
 */
export function createRolloutDecider({storeRecord, handleDecision}: RolloutDeciderContext): RolloutDecider {
	let judge: {readonly orderRevision: number; readonly judge: VersionJudge} | undefined;
	let storeAttemptedAt = Number.NEGATIVE_INFINITY;
	let isStoring = false;
	/** A decision of this node that is not in the store yet. */
	let unstored: RolloutRecord | undefined;
	let demand: number | undefined;
	let promoted: {readonly orderRevision: number; readonly since: number} | undefined;

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

	const storeThenApply = async (record: RolloutRecord): Promise<void> => {
		if (await store(record) === 'stored') {
			handleDecision(record);
		}
	};

	/** Stores a decision of this node. If the store is unavailable, the next round tries again. */
	const storeDecision = async (record: RolloutRecord): Promise<void> => {
		unstored = record;
		if (await store(record) !== 'unavailable') {
			unstored = undefined;
		}
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

	/** Returns for how long this node has known that the version of a rollout is promoted. */
	const updatePromotedMs = ({stage, position}: RolloutRecord): number => {
		if (stage !== 'promoting') {
			return 0;
		}

		if (promoted?.orderRevision !== position.revision) {
			promoted = {orderRevision: position.revision, since: readSteadyMs()};
		}

		return readSteadyMs() - promoted.since;
	};

	/** Updates the moving average of the requests in work at all servers of the own service. */
	const updateDemand = (requests: number): number => {
		demand = demand === undefined ? requests : demand + (demandWeight * (requests - demand));
		return demand;
	};

	const createView = (record: RolloutRecord, servers: readonly KnownServer[], tested: ReadonlySet<LifetimeKey>): RolloutView => {
		const targets = servers.filter(({server, isReachable}) => server.version === record.targetVersion && server.state === 'ready' && isReachable).map(({server}) => server);
		const others = servers.filter(({server}) => server.version !== record.targetVersion && !isRejected(record, server.version));
		const busy = others.filter(({server}) => server.state !== 'draining' || server.running + server.waiting > 0);
		return {
			record,
			reachableTargets: targets.length,
			verdict: judgeVersion(record, servers, tested),
			targetSlots: targets.filter(({coldMs}) => coldMs === 0).reduce((sum, {slots}) => sum + slots, 0),
			promotedMs: updatePromotedMs(record),
			demand: updateDemand(servers.filter(({isHeard}) => isHeard).reduce((sum, {server}) => sum + server.running + server.waiting, 0)),
			busyOthers: busy.length,
			silentOthers: busy.filter(({isHeard}) => !isHeard).length,
		};
	};

	return {
		advance(record, servers, tested) {
			const decision = decideStage(createView(record, servers, tested));
			if (decision.type === 'stay') {
				return;
			}

			const next: RolloutRecord = {...record, stage: decision.stage, reason: decision.reason};
			if (decision.needsStore) {
				void storeThenApply(next);
				return;
			}

			handleDecision(next);
			if (!isRunning(next)) {
				void storeDecision(next);
			}
		},
		storePending() {
			if (unstored !== undefined) {
				void storeDecision(unstored);
			}
		},
	};
}
