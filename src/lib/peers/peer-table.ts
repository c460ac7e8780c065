/**
 * What a node knows of the others: their newest reports, how long ago each was
 * heard, and which of them could not be reached. The decision part of
 * membership; time is handed in.
 *
 * @module
 */
import {type NodeId} from '../common/ids.js';
import {type PeerReport} from './peer-report.js';

/** One other node. @internal */
export type Peer = {
	readonly report: PeerReport;
	/** Steady milliseconds. */
	readonly heardAt: number;
	/** Milliseconds between its heartbeats to this node. */
	readonly periodMs: number;
	/** When it was first asked for a report that has not come yet, in steady milliseconds. */
	readonly probedAt: number | undefined;
	/** It could not be reached; not to be chosen before this time. Steady milliseconds. */
	readonly avoidUntil: number;
	/** Failures to reach it in a row. */
	readonly failures: number;
	/** Runs of the same node that a newer one has replaced: their late datagrams are ignored. */
	readonly oldRuns: readonly string[];
};

/** @internal */
export type PeerTable = ReadonlyMap<NodeId, Peer>;

/** What a report changed. @internal */
export type PeerNews = 'none' | 'joined' | 'restarted' | 'returned' | 'changed'
	/** Nothing but the version of its configuration. */
	| 'version';

/** @internal */
export type PeerLimits = {
	/** Milliseconds without a report after which a node is not chosen; longer for one whose heartbeats come less often. */
	readonly silenceMs: number;
	/** Milliseconds that a node may take to answer when it is asked for a report. */
	readonly probeMs: number;
	/** Milliseconds between its heartbeats, as a node says in its report. */
	readonly getPeriodMs: (report: PeerReport) => number;
	/** Milliseconds without a report after which a node is forgotten. */
	readonly forgetMs: number;
	/** Milliseconds for which a node that could not be reached is not chosen; doubles each time in a row. */
	readonly avoidMs: number;
};

/** The longest time for which an unreachable node is not chosen, as a multiple of the first. */
const longestAvoidance = 8;

/** Old runs remembered for each node; a node that restarts more often within a datagram's life does not exist. */
const rememberedRuns = 4;

/** Heartbeats of a node that may be lost before it counts as silent, and a part of one for the way. */
const missedHeartbeats = 2.6;

/**
 * @param peer - A node.
 * @param limits - Limits of silence.
 * @param now - Steady milliseconds.
 * @returns Whether it was heard lately, and has not left a question unanswered.
 * @internal
 */
export function isHeard({heardAt, periodMs, probedAt}: Peer, {silenceMs, probeMs}: PeerLimits, now: number): boolean {
	return now - heardAt <= Math.max(silenceMs, periodMs * missedHeartbeats) && (probedAt === undefined || now - probedAt <= probeMs);
}

/**
 * Notes that a node was asked for a report.
 *
 * @param table - What is known.
 * @param node - The node.
 * @param now - Steady milliseconds.
 * @returns What is known afterwards.
 * @internal
 */
export function noteProbed(table: PeerTable, node: NodeId, now: number): PeerTable {
	const peer = table.get(node);
	return peer === undefined || peer.probedAt !== undefined ? table : new Map(table).set(node, {...peer, probedAt: now});
}

/**
 * @param peer - A node.
 * @param limits - Limits of silence.
 * @param now - Steady milliseconds.
 * @returns Whether a request may be sent there.
 * @internal
 */
export function isReachable(peer: Peer, limits: PeerLimits, now: number): boolean {
	return isHeard(peer, limits, now) && now >= peer.avoidUntil && !peer.report.isLeaving;
}

function compareReports(known: Peer, report: PeerReport, isSilent: boolean): PeerNews {
	if (known.report.run !== report.run) {
		return 'restarted';
	}

	if (isSilent) {
		return 'returned';
	}

	const before = known.report;
	const isSame = before.isLeaving === report.isLeaving && before.server?.id === report.server?.id && before.server?.state === report.server?.state;
	if (!isSame) {
		return 'changed';
	}

	return before.version === report.version ? 'none' : 'version';
}

/**
 * Takes in a report. Reports that are late, repeated or of an earlier run change nothing.
 *
 * @param table - What is known.
 * @param report - The report.
 * @param limits - Limits of silence.
 * @param now - Steady milliseconds.
 * @returns What is known afterwards, and what is new.
 * @internal
 */
export function acceptReport(table: PeerTable, report: PeerReport, limits: PeerLimits, now: number): {readonly table: PeerTable; readonly news: PeerNews} {
	const known = table.get(report.node);
	const isOld = known !== undefined && (known.oldRuns.includes(report.run) || (known.report.run === report.run && known.report.sequence >= report.sequence));
	if (isOld) {
		return {table, news: 'none'};
	}

	const news = known === undefined ? 'joined' : compareReports(known, report, !isHeard(known, limits, now));
	const isNewRun = news === 'joined' || news === 'restarted';
	const oldRuns = known === undefined || news !== 'restarted' ? known?.oldRuns ?? [] : [...known.oldRuns, known.report.run].slice(-rememberedRuns);
	const peer: Peer = {
		report, heardAt: now, oldRuns, periodMs: limits.getPeriodMs(report), probedAt: undefined,
		avoidUntil: isNewRun ? 0 : known?.avoidUntil ?? 0,
		failures: isNewRun ? 0 : known?.failures ?? 0,
	};
	return {table: new Map(table).set(report.node, peer), news};
}

/**
 * Notes that a node could not be reached.
 *
 * @param table - What is known.
 * @param node - The node.
 * @param limits - How long it is avoided.
 * @param now - Steady milliseconds.
 * @returns What is known afterwards.
 * @internal
 */
export function noteUnreachable(table: PeerTable, node: NodeId, limits: PeerLimits, now: number): PeerTable {
	const peer = table.get(node);
	if (peer === undefined || now < peer.avoidUntil) {
		return table;
	}

	const failures = peer.failures + 1;
	const factor = Math.min(longestAvoidance, 2 ** (failures - 1));
	return new Map(table).set(node, {...peer, failures, avoidUntil: now + (limits.avoidMs * factor)});
}

/**
 * Notes that a node was reached, which ends its failures in a row.
 *
 * @param table - What is known.
 * @param node - The node.
 * @returns What is known afterwards.
 * @internal
 */
export function noteReached(table: PeerTable, node: NodeId): PeerTable {
	const peer = table.get(node);
	return peer === undefined || peer.failures === 0 ? table : new Map(table).set(node, {...peer, failures: 0, avoidUntil: 0});
}

/**
 * Forgives silence while this node itself stood still: nothing could be heard meanwhile.
 *
 * @param table - What is known.
 * @param pausedMs - How long it stood still.
 * @returns What is known afterwards.
 * @internal
 */
export function forgiveSilence(table: PeerTable, pausedMs: number): PeerTable {
	return new Map([...table].map(([node, peer]) => [node, {...peer, heardAt: peer.heardAt + pausedMs, probedAt: peer.probedAt === undefined ? undefined : peer.probedAt + pausedMs}]));
}

/**
 * Drops nodes that have been silent for long.
 *
 * @param table - What is known.
 * @param limits - Limits of silence.
 * @param now - Steady milliseconds.
 * @returns What is known afterwards, and who was dropped.
 * @internal
 */
export function dropSilent(table: PeerTable, limits: PeerLimits, now: number): {readonly table: PeerTable; readonly dropped: readonly NodeId[]} {
	const dropped = [...table].filter(([, peer]) => now - peer.heardAt > limits.forgetMs).map(([node]) => node);
	if (dropped.length === 0) {
		return {table, dropped};
	}

	const gone = new Set(dropped);
	return {table: new Map([...table].filter(([node]) => !gone.has(node))), dropped};
}
