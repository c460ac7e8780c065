/**
 * `npm run bench -- peer-slopes`: measures how the periodic work of a node grows
 * with the number of nodes, as ratios to the smallest mesh.
 *
 * @module
 */
import {
	toAddress, toBackendServerId, toFailureDomain, toNodeId, type BackendServerId,
} from '../src/lib/common/ids.js';
import {chooseAnnouncementTargets} from '../src/lib/peers/announcement-targets.js';
import {listDuePositions} from '../src/lib/peers/heartbeat-rotation.js';
import {planHeartbeats} from '../src/lib/peers/heartbeat-plan.js';
import {
	createPeerTable, isHeard, type Peer, type PeerLimits, type PeerTable,
} from '../src/lib/peers/peer-table.js';
import {createSampleReport} from '../src/lib/peers/sample-report.js';
import {isRelay, type DomainNode} from '../src/lib/sync/relay-duty.js';
import {formatMarkdown, measureMedianMicroseconds} from './statistics.js';

const limits: PeerLimits = {
	silenceMs: 1050, probeMs: 650, forgetMs: 60_000, avoidMs: 250, getPeriodMs: () => 400,
};

const roundCount = 400;
const domainCount = 5;
const ownDomain = toFailureDomain('d0');
const nowMs = 500;

function fillTable(nodes: number): PeerTable {
	const table = createPeerTable(ownDomain, limits);
	for (let index = 1; index < nodes; index++) {
		const host = `10.${Math.floor(index / 256)}.${index % 256}.1`;
		table.acceptReport(createSampleReport({
			node: toNodeId(`n${index}`), domain: toFailureDomain(`d${index % domainCount}`), gate: toAddress(`${host}:1`), gossip: toAddress(`${host}:2`),
			duties: {
				linkMbps: index % 3 === 0 ? 100 : 10, isFollowing: index % domainCount === 0 && index > nodes - 25, storeSeenMs: 50, storeEra: 1,
			},
			server: {...createSampleReport().server!, lifetime: {id: toBackendServerId(`i${index}`), startedAt: 1}},
		}), 0);
	}

	return table;
}

/**
 * Counts the nodes that are due in a heartbeat round, by a scan of all nodes: the
 * reference for the rotation. Every fourth round also counts silent nodes and
 * removes nodes that have been silent for too long.
 */
function countDueByFullScan(table: PeerTable, round: number, plan: ReturnType<typeof planHeartbeats>): number {
	let due = 0;
	let index = 0;
	for (const peer of table.list()) {
		const periodRounds = peer.report.domain === ownDomain ? plan.ownDomain : plan.otherDomain;
		due += (index + round) % (isHeard(peer, limits, nowMs) ? periodRounds : Math.max(periodRounds, 4)) === 0 ? 1 : 0;
		index++;
	}

	if (round % 4 === 0) {
		const silent = [...table.list()].filter(peer => !isHeard(peer, limits, nowMs));
		due += silent.length + table.dropSilent(nowMs).length;
	}

	return due;
}

/** Counts the nodes that are due in a heartbeat round, by the rotation that nodes use. */
function countDueByRotation(table: PeerTable, round: number, plan: ReturnType<typeof planHeartbeats>): number {
	let due = 0;
	const addDue = (peers: readonly Peer[], periodRounds: number): void => {
		for (const index of listDuePositions(peers.length, periodRounds, round)) {
			due += isHeard(peers[index]!, limits, nowMs) ? 1 : 0;
		}
	};

	addDue(table.listOwnDomain(), plan.ownDomain);
	addDue(table.listOtherDomains(), plan.otherDomain);
	return due;
}

const self: DomainNode = {
	node: toNodeId('n0'), heardMsAgo: 0, periodMs: 0, linkMbps: 10, isFollowing: false, storeSeenMs: 20,
};

function * describeDomainNodes(table: PeerTable): Generator<DomainNode> {
	for (const {report: {node, duties: {linkMbps, isFollowing, storeSeenMs}}, reportedAt, periodMs} of table.listOwnDomain()) {
		yield {
			node, linkMbps, isFollowing, storeSeenMs, heardMsAgo: nowMs - reportedAt, periodMs,
		};
	}
}

const listServers = (table: PeerTable): ReadonlySet<BackendServerId> => new Set([...table.list()].flatMap(({report}) => report.server === undefined ? [] : [report.server.lifetime.id]));

type Row = {readonly name: string; readonly timesPerSecond: number; readonly run: (table: PeerTable, round: number) => void};

/**
 * Measures and prints a row for each task.
 *
 * @param sizes - Numbers of nodes.
 */
export function runPeerSlopes(sizes: readonly number[]): void {
	const tables = sizes.map(nodes => fillTable(nodes));
	const getPlan = (table: PeerTable): ReturnType<typeof planHeartbeats> => {
		const own = table.listOwnDomain().length;
		return planHeartbeats({ownDomainNodes: own, otherDomainNodes: table.size - own, isFollowing: false});
	};

	const rows: readonly Row[] = [
		{
			name: 'a round, every node looked at', timesPerSecond: 2.5, run(table, round) {
				countDueByFullScan(table, round, getPlan(table));
			},
		},
		{
			name: 'a round by turns', timesPerSecond: 2.5, run(table, round) {
				countDueByRotation(table, round, getPlan(table));
			},
		},
		{name: 'whom news of a ready server go to', timesPerSecond: 0.1, run: table => chooseAnnouncementTargets(table, Math.random)},
		{name: 'whether to watch the store', timesPerSecond: 3.3, run: table => isRelay(self, describeDomainNodes(table), table.countDomains())},
		{name: 'which servers are known (every 30 s)', timesPerSecond: 1 / 30, run: table => listServers(table)},
	];

	const cells = rows.map(({name, timesPerSecond, run}) => {
		const medianMicroseconds = tables.map(table => {
			let round = 0;
			return measureMedianMicroseconds(roundCount, () => {
				round++;
				run(table, round);
			});
		});
		const smallestMesh = medianMicroseconds[0]!;
		return [name, ...medianMicroseconds.map(median => `${median.toFixed(1)} (${(median / smallestMesh).toFixed(1)})`), (medianMicroseconds.at(-1)! * timesPerSecond / 1000).toFixed(3)];
	});
	console.log(formatMarkdown(['µs each (ratio to the first)', ...sizes.map(size => `${size} nodes`), 'ms a second at the last'], cells));

	const counts = tables.map(table => [countDueByRotation(table, 0, getPlan(table)), chooseAnnouncementTargets(table, Math.random).length] as const);
	console.log('');
	console.log(formatMarkdown(['datagrams', ...sizes.map(size => `${size} nodes`)], [
		['of a round, the mean of its turns', ...tables.map(table => {
			const {ownDomain: own, otherDomain} = getPlan(table);
			return ((table.listOwnDomain().length / own) + (table.listOtherDomains().length / otherDomain)).toFixed(1);
		})],
		['of news of a ready server', ...counts.map(([, news]) => String(news))],
	]));
}
