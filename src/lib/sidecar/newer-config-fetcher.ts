/**
 * Fetches a newer configuration from another node. It is as reliable as one
 * from the store, since versions only increase.
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

/** An active configuration. @internal */
export type CurrentConfig = {readonly version: number; readonly text: string};

/** @internal */
export type NewerConfigContext = {
	/** Returns the active configuration; `undefined` if there is none. */
	readonly getCurrent: () => CurrentConfig | undefined;
	/** Returns whether this node watches the store itself, can reach it, and is not behind what the store sends. */
	readonly isWatchingStore: () => boolean;
	/** Returns whether another node is in the failure domain of this node. */
	readonly isInOwnDomain: (report: PeerReport) => boolean;
	readonly fetchConfig: GateClient['fetchConfig'];
	readonly applyText: (text: string, source: string, steps?: readonly ConfigStep[]) => void;
	/** Called when the answer of a node cannot be used, with the reason. */
	readonly handleUnusableAnswer: (report: PeerReport, reason: string) => void;
	/** Called with the first report of a version. */
	readonly handleNewVersion: (report: PeerReport) => void;
	/** Called when a fetch from a node fails, with its duration. */
	readonly handleFetchFailed: (report: PeerReport, error: ConfigFetchError, tookMs: number) => void;
};

/** How long a node that watches the store waits for its own watch before it fetches from another node. */
const ownWatchDelayMs = 600;

/** How long a node waits for nodes of its own failure domain to get the version before it fetches from another domain: traffic between failure domains costs money. */
const ownDomainDelayMs = 300;

/** Timeout of a fetch. On the slowest links in use, beside other traffic, a whole configuration may take more than half of the time in which it must become active, and to start again would take longer. */
const fetchTimeoutMs = 2000;

/** How long a fetch may take before a second one from another node starts. Most answers are steps, which take a few milliseconds. */
const secondFetchAfterMs = 700;

const maxConcurrentFetches = 2;

/** Maximum number of claims, of which each node has at most one. Equal to the maximum number of nodes in the peer table. */
const maxClaims = 4000;

/** A version that a node reported; refuted once a read of the store that started later returned nothing newer than the active version. */
type VersionClaim = {readonly report: PeerReport; readonly heardAt: number; isRefuted: boolean};

/** @internal */
export type NewerConfigFetcher = {
	/** Handles a report of another node, and fetches its configuration if that is newer. */
	readonly handleReport: (report: PeerReport) => Promise<void>;
	/** Records a finished read of the store, with its start in steady milliseconds. Versions newer than the active one that nodes reported before the start do not exist. */
	readonly recordStoreRead: (startedAt: number) => void;
	/** Returns the newest version that this node knows of, its active one included. */
	readonly getNewestKnownVersion: () => number;
	/** Returns whether this node knows of a newer version than its active one. */
	readonly isOutdated: () => boolean;
	/** Returns for how many milliseconds this node has known of a newer version without getting any newer one. */
	readonly getStalledMs: (now: number) => number;
};

/**
 * @param context - The active configuration, and the callbacks for a newer one.
 * @returns The fetcher.
 * @internal
 */
export function createNewerConfigFetcher(context: NewerConfigContext): NewerConfigFetcher {
	const {getCurrent, isWatchingStore, isInOwnDomain, fetchConfig, applyText, handleUnusableAnswer, handleNewVersion, handleFetchFailed} = context;
	/** Start times of the fetches in flight, in steady milliseconds. */
	const fetchStartTimes = new Map<NodeId, number>();
	let hasDelayedFetch = false;
	let newestKnownVersion = 0;
	/** When the last stall (see `isStalled`) began, in steady milliseconds, and the version that was active then. */
	let stalledSince = 0;
	let stalledVersion = 0;
	/** Newer versions that nodes reported while the active version was `claimsBaseVersion`. */
	const claims = new Map<NodeId, VersionClaim>();
	let claimsBaseVersion = 0;
	/** The claim of the newest version among those that are not refuted. */
	let newestClaim: VersionClaim | undefined;
	/** Set if steps could not be applied: the next fetch requests the whole configuration. */
	let needsWholeConfig = false;

	const getVersion = (): number => getCurrent()?.version ?? 0;

	const computeDelay = (report: PeerReport): number => {
		if (isWatchingStore()) {
			return ownWatchDelayMs;
		}

		return isInOwnDomain(report) ? 0 : ownDomainDelayMs;
	};

	/** Applies the steps that start at the active version, which may have changed since the request. */
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
				handleUnusableAnswer(report, `the step from version ${step.from} to ${step.to} does not apply to the active configuration`);
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

	/** Returns whether this node is outdated and its version has not changed. While changes follow quickly, a node is always outdated; what matters is that it makes progress. */
	const isStalled = (): boolean => getVersion() < newestKnownVersion && getVersion() === stalledVersion;

	/** Returns whether a fetch from a node may start. Only one fetch runs, and a second one if the first takes long, since its node may have become unreachable. */
	const mayFetchFrom = (node: NodeId): boolean => {
		const now = readSteadyMs();
		return !fetchStartTimes.has(node) && fetchStartTimes.size < maxConcurrentFetches && [...fetchStartTimes.values()].every(startedAt => now - startedAt > secondFetchAfterMs);
	};

	/** Returns whether another node is ahead of the one that reports, so that this node would be outdated after a fetch. Once nothing has come for a while, any newer version helps. */
	const isBehindOthers = ({version}: PeerReport): boolean => version < (newestClaim?.report.version ?? 0) && (!isStalled() || readSteadyMs() - stalledSince <= secondFetchAfterMs);

	const fetchIfAllowed = async (report: PeerReport): Promise<void> => {
		if (report.version <= getVersion() || isBehindOthers(report) || !mayFetchFrom(report.node)) {
			return;
		}

		fetchStartTimes.set(report.node, readSteadyMs());
		try {
			await fetchFrom(report);
		} finally {
			fetchStartTimes.delete(report.node);
		}
	};

	const recordNewerVersion = (version: number): void => {
		if (!isStalled()) {
			stalledSince = readSteadyMs();
			stalledVersion = getVersion();
		}

		newestKnownVersion = Math.max(newestKnownVersion, version);
	};

	const isNewerClaim = (claim: VersionClaim, other: VersionClaim | undefined): boolean => other === undefined || claim.report.version > other.report.version;

	const findNewestClaim = (): VersionClaim | undefined => {
		let newest: VersionClaim | undefined;
		for (const claim of claims.values()) {
			newest = !claim.isRefuted && isNewerClaim(claim, newest) ? claim : newest;
		}

		return newest;
	};

	/** Records the version that a node reports. Claims are dropped when the active version changes, since a refuted version may exist by then. */
	const recordClaim = (report: PeerReport): VersionClaim => {
		const {node, version} = report;
		if (claimsBaseVersion !== getVersion() || claims.size >= maxClaims) {
			claimsBaseVersion = getVersion();
			claims.clear();
			newestClaim = undefined;
		}

		const known = claims.get(node);
		if (known?.report.version === version) {
			return known;
		}

		const claim: VersionClaim = {report, heardAt: readSteadyMs(), isRefuted: false};
		claims.set(node, claim);
		newestClaim = known === undefined ? (isNewerClaim(claim, newestClaim) ? claim : newestClaim) : findNewestClaim();
		return claim;
	};

	const recordStoreRead = (startedAt: number): void => {
		for (const claim of claims.values()) {
			claim.isRefuted ||= claim.heardAt < startedAt;
		}

		newestClaim = findNewestClaim();
		newestKnownVersion = Math.max(getVersion(), newestClaim?.report.version ?? 0);
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

		// One delayed fetch is enough. Reports that need no delay are handled above.
		if (hasDelayedFetch) {
			return;
		}

		hasDelayedFetch = true;
		await waitFor(delayMs);
		hasDelayedFetch = false;
		await fetchIfAllowed(newestClaim?.report ?? report);
	};

	return {
		handleReport,
		recordStoreRead,
		getNewestKnownVersion: () => Math.max(getVersion(), newestKnownVersion),
		isOutdated: () => getVersion() < newestKnownVersion,
		getStalledMs: now => isStalled() ? now - stalledSince : 0,
	};
}
