/**
 * Failure detector for the nodes of this failure domain, after the SWIM
 * protocol. In each period it pings one member. If no ack arrives in time, it
 * asks other members to ping that member (indirect probe). If these get no ack
 * either, the member becomes suspect, and dead if nothing refutes the suspicion
 * within a timeout.
 *
 * This module is a pure state machine: it takes a state and an event, and
 * returns the next state and effects. gossip.ts does the I/O.
 *
 * @module
 */
import {type NodeId} from '../common/ids.js';
import {shuffleList} from '../common/shuffle-list.js';

/** @public */
export type DetectorSettings = {
	/** Milliseconds between two probes by this node. */
	readonly periodMs: number;
	/** Milliseconds to wait for the ack of a direct ping before indirect probes are sent. */
	readonly ackTimeoutMs: number;
	/** Number of members that are asked for an indirect probe. */
	readonly indirectProbes: number;
	/** Milliseconds after which a suspect is declared dead. */
	readonly suspicionMs: number;
};

/** @internal */
export const defaultDetectorSettings: DetectorSettings = {
	periodMs: 1000, ackTimeoutMs: 400, indirectProbes: 3, suspicionMs: 4000,
};

/** A probe whose ack has not arrived yet. */
type Probe = {
	readonly target: NodeId;
	readonly sequenceNumber: number;
	readonly sentAt: number;
	readonly isIndirect: boolean;
};

/** @internal */
export type DetectorState = {
	readonly nextSequenceNumber: number;
	readonly lastTickAt: number;
	/** Members to probe next. Refilled with all members in random order when it is empty. */
	readonly probeQueue: readonly NodeId[];
	readonly probe: Probe | undefined;
	/** When the next probe is due, in milliseconds since the epoch. */
	readonly nextProbeAt: number;
	/** When each suspect is declared dead, in milliseconds since the epoch. */
	readonly suspects: ReadonlyMap<NodeId, number>;
};

/** @internal */
export type DetectorEvent =
	| {readonly type: 'tick'; readonly now: number; readonly members: readonly NodeId[]}
	| {readonly type: 'ack'; readonly from: NodeId; readonly sequenceNumber: number}
	| {readonly type: 'refuted'; readonly member: NodeId}
	| {readonly type: 'suspected'; readonly member: NodeId; readonly now: number};

/** A side effect for the caller to carry out. @internal */
export type DetectorEffect =
	| {readonly type: 'ping'; readonly target: NodeId; readonly sequenceNumber: number}
	| {readonly type: 'ping-request'; readonly through: NodeId; readonly target: NodeId; readonly sequenceNumber: number}
	| {readonly type: 'suspect'; readonly member: NodeId}
	| {readonly type: 'dead'; readonly member: NodeId};

/** @internal */
export type DetectorStep = {
	readonly state: DetectorState;
	readonly effects: readonly DetectorEffect[];
};

/** A gap between two ticks of more than this many periods means that this node itself was paused. */
const pauseThresholdPeriods = 3;

/**
 * Creates the initial state of a detector, without probes or suspects.
 *
 * @param now - Milliseconds since the epoch.
 * @returns The state.
 * @internal
 */
export function createDetectorState(now: number): DetectorState {
	return {
		nextSequenceNumber: 1, lastTickAt: now, probeQueue: [], probe: undefined, nextProbeAt: now, suspects: new Map(),
	};
}

function removeSuspect(suspects: ReadonlyMap<NodeId, number>, member: NodeId): ReadonlyMap<NodeId, number> {
	if (!suspects.has(member)) {
		return suspects;
	}

	const copy = new Map(suspects);
	copy.delete(member);
	return copy;
}

function addSuspect(state: DetectorState, member: NodeId, deadline: number): DetectorState {
	return state.suspects.has(member) ? state : {...state, suspects: new Map([...state.suspects, [member, deadline]])};
}

/** Drops the probe in flight and restarts the timeout of each suspect: acks and refutations may have arrived unread during the pause. */
function resetAfterPause(state: DetectorState, settings: DetectorSettings, now: number): DetectorState {
	const suspects = new Map([...state.suspects.keys()].map(member => [member, now + settings.suspicionMs]));
	return {...state, probe: undefined, suspects};
}

type TickEvent = Extract<DetectorEvent, {readonly type: 'tick'}>;

function startProbe(state: DetectorState, settings: DetectorSettings, event: TickEvent, random: () => number): DetectorStep {
	const {now, members} = event;
	if (state.probe !== undefined || now < state.nextProbeAt) {
		return {state, effects: []};
	}

	const queue = state.probeQueue.filter(member => members.includes(member));
	const [target, ...rest] = queue.length > 0 ? queue : shuffleList(members, random);
	if (target === undefined) {
		return {state: {...state, probeQueue: []}, effects: []};
	}

	const sequenceNumber = state.nextSequenceNumber;
	return {
		state: {
			...state,
			probeQueue: rest,
			nextProbeAt: now + settings.periodMs,
			nextSequenceNumber: sequenceNumber + 1,
			probe: {
				target, sequenceNumber, sentAt: now, isIndirect: false,
			},
		},
		effects: [{type: 'ping', target, sequenceNumber}],
	};
}

function removeExpiredSuspects(state: DetectorState, now: number): DetectorStep {
	const expired = [...state.suspects].filter(([, deadline]) => deadline <= now).map(([member]) => member);
	if (expired.length === 0) {
		return {state, effects: []};
	}

	const suspects = new Map([...state.suspects].filter(([, deadline]) => deadline > now));
	// Drop the probe in flight if its target has just been declared dead.
	const probe = state.probe !== undefined && expired.includes(state.probe.target) ? undefined : state.probe;
	return {state: {...state, suspects, probe}, effects: expired.map(member => ({type: 'dead', member}))};
}

function checkProbe(state: DetectorState, settings: DetectorSettings, event: TickEvent, random: () => number): DetectorStep {
	const {probe} = state;
	if (probe === undefined || event.now - probe.sentAt < settings.ackTimeoutMs) {
		return {state, effects: []};
	}

	if (!probe.isIndirect) {
		const helpers = shuffleList(event.members.filter(member => member !== probe.target), random).slice(0, settings.indirectProbes);
		return {
			state: {...state, probe: {...probe, isIndirect: true}},
			effects: helpers.map(through => ({
				type: 'ping-request', through, target: probe.target, sequenceNumber: probe.sequenceNumber,
			})),
		};
	}

	if (event.now - probe.sentAt < settings.periodMs) {
		return {state, effects: []};
	}

	return {
		state: addSuspect({...state, probe: undefined}, probe.target, event.now + settings.suspicionMs),
		effects: state.suspects.has(probe.target) ? [] : [{type: 'suspect', member: probe.target}],
	};
}

function handleTick(state: DetectorState, settings: DetectorSettings, event: TickEvent, random: () => number): DetectorStep {
	const wasPaused = event.now - state.lastTickAt > settings.periodMs * pauseThresholdPeriods;
	const resumed = wasPaused ? resetAfterPause(state, settings, event.now) : state;
	const expired = removeExpiredSuspects({...resumed, lastTickAt: event.now}, event.now);
	const checked = checkProbe(expired.state, settings, event, random);
	const started = startProbe(checked.state, settings, event, random);
	return {state: started.state, effects: [...expired.effects, ...checked.effects, ...started.effects]};
}

/**
 * Applies one event to the detector.
 *
 * @param state - The current state.
 * @param event - The event.
 * @param settings - The timing of probes and suspicions.
 * @param random - Returns random numbers from 0 (inclusive) to 1 (exclusive).
 * @returns The next state, and the effects to carry out in order.
 * @internal
 */
export function stepDetector(state: DetectorState, event: DetectorEvent, settings: DetectorSettings, random: () => number): DetectorStep {
	switch (event.type) {
		case 'tick': {
			return handleTick(state, settings, event, random);
		}

		case 'ack': {
			const isExpected = state.probe?.target === event.from && state.probe.sequenceNumber === event.sequenceNumber;
			const suspects = removeSuspect(state.suspects, event.from);
			return {state: {...state, suspects, probe: isExpected ? undefined : state.probe}, effects: []};
		}

		case 'refuted': {
			return {state: {...state, suspects: removeSuspect(state.suspects, event.member)}, effects: []};
		}

		case 'suspected': {
			return {state: addSuspect(state, event.member, event.now + settings.suspicionMs), effects: []};
		}
	}
}
