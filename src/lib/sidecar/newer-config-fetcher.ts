/**
 * Fetches a configuration from another node that has a newer one. Its word is
 * as good as the store's, since versions only grow.
 *
 * @module
 */
import {readSteadyMs, waitFor} from '../common/clock.js';
import {type NodeId} from '../common/ids.js';
import {createCallScope} from '../forwarding/call-scope.js';
import {type ConfigAnswer} from '../forwarding/config-messages.js';
import {type ConfigFetchError, type GateClient} from '../forwarding/gate-client.js';
import {type PeerReport} from '../peers/peer-report.js';
import {type ConfigStep} from '../route-config/config-history.js';
import {applyTextDelta} from '../route-config/text-delta.js';

/** A configuration in force. @internal */
export type CurrentConfig = {readonly version: number; readonly text: string};

/** @internal */
export type NewerConfigContext = {
	/** The one in force; `undefined` if there is none. */
	readonly getCurrent: () => CurrentConfig | undefined;
	/** Whether this node watches the store itself, and reaches it. */
	readonly isWatchingStore: () => boolean;
	/** Whether another node stands in the same failure domain. */
	readonly isInOwnDomain: (report: PeerReport) => boolean;
	readonly fetchConfig: GateClient['fetchConfig'];
	readonly applyText: (text: string, source: string, steps?: readonly ConfigStep[]) => void;
	/** Told of an answer that cannot be used, and why. */
	readonly handleUnusableAnswer: (report: PeerReport, reason: string) => void;
	/** Told of a version that nobody told of before. */
	readonly handleNewVersion: (report: PeerReport) => void;
	/** Told of a node that was asked and handed nothing over, and how long that took in milliseconds. */
	readonly handleFetchFailed: (report: PeerReport, error: ConfigFetchError, tookMs: number) => void;
};

/** How long a node that watches the store waits for its own watch before it asks another node. Milliseconds. */
const ownWatchDelayMs = 600;

/** How long a node waits for those of its own failure domain to have it as well: bytes between failure domains are paid for. Milliseconds. */
const ownDomainDelayMs = 300;

/** How long another node may take to hand over its configuration. Milliseconds: over the slowest links of the users, beside their other traffic, the whole may take more than half of the time in which it has to be in force, and to begin anew would take longer. */
const fetchTimeoutMs = 2000;

/** How long a node may take before another one is asked as well. Milliseconds: most answers are steps, which take a few. */
const secondFetchAfterMs = 700;

/** Nodes that are asked at once at the most. */
const maxConcurrentFetches = 2;

/** Claims that are remembered at the most: as many as nodes are held. */
const maxClaims = 4000;

/** What a node said to have; refuted once the store, asked after that, had nothing newer than what is in force here. */
type VersionClaim = {readonly version: number; readonly heardAt: number; isRefuted: boolean};

/** @internal */
export type NewerConfigFetcher = {
	/** Takes in what another node says that it has, and fetches it if it is newer. */
	readonly handleReport: (report: PeerReport) => Promise<void>;
	/** The store has told what is newest, asked at a time in steady milliseconds: what nodes claimed beyond it before does not exist. */
	readonly recordStoreRead: (startedAt: number) => void;
	/** Whether a newer version is known of than the one in force here. */
	readonly isOutdated: () => boolean;
	/** Milliseconds for which this node has known of a newer version without getting any. */
	readonly getStalledMs: (now: number) => number;
};

/**
 * @param context - The configuration in force and where a newer one goes.
 * @returns What fetches newer ones.
 * @internal
 */
export function createNewerConfigFetcher(context: NewerConfigContext): NewerConfigFetcher {
	const {getCurrent, isWatchingStore, isInOwnDomain, fetchConfig, applyText, handleUnusableAnswer, handleNewVersion, handleFetchFailed} = context;
	/** When each node that is being asked was asked, in steady milliseconds. */
	const fetchStartTimes = new Map<NodeId, number>();
	let hasDelayedFetch = false;
	/** The newest version that was heard of. */
	let newestKnownVersion = 0;
	/** Since when this node has stood still at a version although a newer one is there; steady milliseconds, and that version. */
	let stalledSince = 0;
	let stalledVersion = 0;
	/** Newer versions that nodes said to have, while the version in force here stands. */
	const claims = new Map<NodeId, VersionClaim>();
	let claimsBaseVersion = 0;
	/** Steps could not be applied: the whole is asked for. */
	let needsWholeConfig = false;

	const getVersion = (): number => getCurrent()?.version ?? 0;

	const computeDelay = (report: PeerReport): number => {
		if (isWatchingStore()) {
			return ownWatchDelayMs;
		}

		return isInOwnDomain(report) ? 0 : ownDomainDelayMs;
	};

	/** Applies the steps that lead on from what is in force now, which may have changed since they were asked for. */
	const applySteps = (report: PeerReport, steps: readonly ConfigStep[]): void => {
		let current = getCurrent();
		const applied: ConfigStep[] = [];
		for (const step of steps) {
			if (step.from !== current?.version) {
				continue;
			}

			const text = applyTextDelta(current.text, step.delta);
			if (text === undefined) {
				needsWholeConfig = true;
				handleUnusableAnswer(report, `the step from version ${step.from} to ${step.to} does not fit what is in force here`);
				return;
			}

			current = {version: step.to, text};
			applied.push(step);
		}

		if (current !== undefined && applied.length > 0) {
			applyText(current.text, report.node, applied);
		}
	};

	const applyAnswer = (report: PeerReport, answer: ConfigAnswer): void => {
		switch (answer.type) {
			case 'whole': {
				needsWholeConfig = false;
				applyText(answer.text, report.node);
				break;
			}

			case 'steps': {
				applySteps(report, answer.steps);
				break;
			}
		}
	};

	const fetchFrom = async (report: PeerReport): Promise<void> => {
		const startedAt = readSteadyMs();
		const scope = createCallScope(startedAt + fetchTimeoutMs);
		const answer = await fetchConfig(report.gate, needsWholeConfig ? 0 : getVersion(), scope);
		scope.dispose();
		if (answer.isErr()) {
			handleFetchFailed(report, answer.error, readSteadyMs() - startedAt);
			return;
		}

		applyAnswer(report, answer.value);
	};

	/** One node is asked at a time, and another one when that takes long: it may have fallen silent. */
	const mayFetchFrom = (node: NodeId): boolean => {
		const now = readSteadyMs();
		return !fetchStartTimes.has(node) && fetchStartTimes.size < maxConcurrentFetches && [...fetchStartTimes.values()].every(startedAt => now - startedAt > secondFetchAfterMs);
	};

	const fetchIfAllowed = async (report: PeerReport): Promise<void> => {
		if (report.version <= getVersion() || !mayFetchFrom(report.node)) {
			return;
		}

		fetchStartTimes.set(report.node, readSteadyMs());
		try {
			await fetchFrom(report);
		} finally {
			fetchStartTimes.delete(report.node);
		}
	};

	/** In a quick succession of changes a node lacks the next one all the time; what counts is that it gets on. */
	const isStalled = (): boolean => getVersion() < newestKnownVersion && getVersion() === stalledVersion;

	const recordNewerVersion = (version: number): void => {
		if (!isStalled()) {
			stalledSince = readSteadyMs();
			stalledVersion = getVersion();
		}

		newestKnownVersion = Math.max(newestKnownVersion, version);
	};

	/** Claims are kept only as long as the version in force stands: the next one may be what was claimed. */
	const recordClaim = ({node, version}: PeerReport): VersionClaim => {
		if (claimsBaseVersion !== getVersion() || claims.size >= maxClaims) {
			claimsBaseVersion = getVersion();
			claims.clear();
		}

		const known = claims.get(node);
		if (known?.version === version) {
			return known;
		}

		const claim: VersionClaim = {version, heardAt: readSteadyMs(), isRefuted: false};
		claims.set(node, claim);
		return claim;
	};

	const recordStoreRead = (startedAt: number): void => {
		newestKnownVersion = getVersion();
		for (const claim of claims.values()) {
			claim.isRefuted ||= claim.heardAt < startedAt;
			newestKnownVersion = claim.isRefuted ? newestKnownVersion : Math.max(newestKnownVersion, claim.version);
		}
	};

	const handleReport = async (report: PeerReport): Promise<void> => {
		if (report.version <= getVersion()) {
			return;
		}

		if (recordClaim(report).isRefuted) {
			return;
		}

		if (report.version > newestKnownVersion) {
			handleNewVersion(report);
		}

		recordNewerVersion(report.version);
		const delayMs = computeDelay(report);
		if (delayMs === 0) {
			await fetchIfAllowed(report);
			return;
		}

		// While one report waits, another that need not wait is not kept back by it.
		if (hasDelayedFetch) {
			return;
		}

		hasDelayedFetch = true;
		await waitFor(delayMs);
		hasDelayedFetch = false;
		await fetchIfAllowed(report);
	};

	return {
		handleReport,
		recordStoreRead,
		isOutdated: () => getVersion() < newestKnownVersion,
		getStalledMs: now => isStalled() ? now - stalledSince : 0,
	};
}
