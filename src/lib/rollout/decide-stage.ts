/**
 * Decides when a rollout enters its next stage. A pure function: nodes, tests and
 * the model run the same code.
 *
 * @module
 */
import {type RolloutRecord, type RolloutStage} from './rollout-record.js';
import {type Certainty, type VersionVerdict} from './version-judge.js';

/** What a node knows of a rollout. @internal */
export type RolloutView = {
	readonly record: RolloutRecord;
	readonly verdict: VersionVerdict;
	/** Servers of the target version that requests may be sent to. */
	readonly reachableTargets: number;
	/** Slots of the servers of the target version that are ready and no longer slow after their start. */
	readonly targetSlots: number;
	/** Time for which this node has known that the version is promoted, in milliseconds; 0 in other stages. */
	readonly promotedMs: number;
	/** Requests in work or waiting at all servers of the service. */
	readonly demand: number;
	/** Servers of other versions that may still have requests in work or accept new ones. */
	readonly busyOthers: number;
	/** How many of these have not been heard lately, such as those behind a network partition. */
	readonly silentOthers: number;
};

/** @internal */
export type StageDecision =
	| {readonly type: 'stay'}
	| {
		readonly type: 'change';
		readonly stage: RolloutStage;
		readonly reason: string;
		/** Whether the change applies only once the store has it. */
		readonly needsStore: boolean;
	};

/** Share of the ordered duration after which a certainty is enough: a service that gets few requests never has many outcomes. The first servers are observed for the first of these in any case, since a version may become bad after some time. */
const certaintyShares: Readonly<Record<Certainty, number>> = {certain: 0.4, likely: 0.55, possible: 0.75};

/** Slots of the target version needed to promote it, as a factor of the requests in work. With less reserve, many requests would wait. */
const neededSlotFactor = 1.15;

/** Share of the ordered duration for which the target version gets all requests before the others end, which could still take over. */
const minPromotionShare = 0.12;

/** Share of the ordered duration after which silent servers of other versions are no longer waited for. */
const silentWaitShare = 0.85;

/** Share of the ordered duration after which a version that is not proven is rolled back, so that operators read it in time. */
const endShare = 0.95;

const stay: StageDecision = {type: 'stay'};

function change(stage: RolloutStage, reason: string, needsStore = false): StageDecision {
	return {
		type: 'change', stage, reason, needsStore,
	};
}

function decideCanary({record: {ageMs, durationMs}, verdict, targetSlots, demand}: RolloutView): StageDecision {
	const isProven = verdict.type === 'good' && ageMs >= durationMs * certaintyShares[verdict.certainty];
	return isProven && targetSlots >= demand * neededSlotFactor ? change('loading', verdict.reason) : stay;
}

/** A version that was not proven at full load is not promoted: if it is bad under load, the others have ended when that shows. */
function decideLoading({verdict}: RolloutView): StageDecision {
	return verdict.type === 'good' && verdict.isProvenAtFullLoad ? change('promoting', `proven at full load; ${verdict.reason}`) : stay;
}

function decidePromoting({record: {ageMs, durationMs}, reachableTargets, promotedMs, busyOthers, silentOthers}: RolloutView): StageDecision {
	if (reachableTargets === 0) {
		return change('rolled-back', 'no server of the version is left', true);
	}

	if (promotedMs < durationMs * minPromotionShare) {
		return stay;
	}

	const waitedFor = ageMs >= durationMs * silentWaitShare ? busyOthers - silentOthers : busyOthers;
	return waitedFor <= 0 ? change('completed', `no other server has requests; ${silentOthers} not heard`, true) : stay;
}

/**
 * Decides the next stage of a rollout.
 *
 * A version that is not proven by the end of the ordered duration is rolled back. Until the others stop accepting requests, any node
 * may roll back by itself. From then on the store decides between a roll-back and the completion, which ends the other servers.
 *
 * @param view - What this node knows.
 * @returns The next stage and the reason, or that the rollout stays in its stage.
 * @internal
 */
export function decideStage(view: RolloutView): StageDecision {
	const {record: {stage, ageMs, durationMs}, verdict, targetSlots, demand} = view;
	if (stage === 'completed' || stage === 'rolled-back') {
		return stay;
	}

	if (verdict.type === 'bad') {
		return change('rolled-back', verdict.reason, stage === 'promoting');
	}

	if (stage === 'promoting') {
		return decidePromoting(view);
	}

	if (ageMs >= durationMs * endShare) {
		return change('rolled-back', `not proven in time, with ${targetSlots} slots for ${Math.round(demand)} requests; ${verdict.reason}`);
	}

	return stage === 'canary' ? decideCanary(view) : decideLoading(view);
}
