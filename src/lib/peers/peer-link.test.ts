import assert from 'node:assert/strict';
import {createSocket} from 'node:dgram';
import process from 'node:process';
import test, {type TestContext} from 'node:test';
import {parseAddress} from '../common/address.js';
import {expectSoon} from '../../../stand-ins/wait-until.js';
import {
	toAddress, toFailureDomain, toNodeId, type NodeId,
} from '../common/ids.js';
import {silentLog} from '../timeline/mesh-log.js';
import {silentRefusalLog} from '../timeline/refusal-log.js';
import {createPeerLink, type PeerLink} from './peer-link.js';
import {type PeerLimits} from './peer-table.js';
import {encodeReport, type PeerReport, type ServerState} from './peer-report.js';
import {createSampleReport} from './sample-report.js';

const limits: PeerLimits = {
	silenceMs: 60_000, probeMs: 60_000, forgetMs: 600_000, avoidMs: 250, getPeriodMs: () => 60_000,
};

/** A lifetime that the reports to one node call departed. */
const {lifetime} = createSampleReport().server!;

let hosts = 0;

type LinkChanges = {
	readonly getState?: () => ServerState;
	readonly handleReport?: (report: PeerReport) => void;
	readonly isRefuted?: (report: PeerReport) => boolean;
};

/** A link whose heartbeat period is so long that a test sees only the heartbeats that it triggers. */
type StartedLink = PeerLink & {readonly node: NodeId; readonly address: ReturnType<typeof toAddress>};

async function startLink(context: TestContext, name: string, {getState = () => 'ready', handleReport = () => undefined, isRefuted = () => false}: LinkChanges = {}): Promise<StartedLink> {
	hosts++;
	const address = toAddress(`127.78.${process.pid % 250}.${hosts}:7103`);
	const node = toNodeId(name);
	const link = createPeerLink({
		settings: {
			...limits, node, listen: address, domain: toFailureDomain('a'), periodMs: 60_000,
		},
		describeSelf: (sequence, receiver) => createSampleReport({
			node, gossip: address, sequence, server: {...createSampleReport().server!, state: getState()}, departures: receiver === undefined ? [] : [{node: receiver, lifetime}],
		}),
		isRefuted,
		isFollowing: () => false,
		log: silentLog,
		refusals: silentRefusalLog,
		random: Math.random,
		handleReport,
		handleRound: () => undefined,
	});
	await link.start();
	context.after(link.dispose);
	return {...link, node, address};
}

test('nodes discover each other through a seed address, and a node answers a probe immediately', async context => {
	const first = await startLink(context, 'n1');
	const second = await startLink(context, 'n2');
	first.addSeedAddresses([second.address]);
	await expectSoon('both nodes are in each other\'s tables', () => first.table.get(second.node) !== undefined && second.table.get(first.node) !== undefined);
	const before = first.table.get(second.node)!.report.sequence;
	first.probe(second.node);
	assert.notEqual(first.table.get(second.node)?.probedAt, undefined);
	await expectSoon('the probe is answered', () => first.table.get(second.node)!.report.sequence > before);
	assert.equal(first.table.get(second.node)?.probedAt, undefined);
});

// Guards against a restarted node that uses a server for as long as it runs, because nobody tells it that the server has left.
test('a node that starts, and one whose report is refuted, is told of its departures at once', async context => {
	let isRefuted = false;
	const told: PeerReport[] = [];
	const first = await startLink(context, 'n1', {isRefuted: () => isRefuted});
	const second = await startLink(context, 'n2', {
		handleReport(report) {
			told.push(report);
		},
	});
	first.addSeedAddresses([second.address]);
	const countTold = (): number => told.filter(({departures}) => departures.some(({node}) => node === second.node)).length;
	await expectSoon('the node that starts is told', () => countTold() > 0);
	const before = countTold();
	isRefuted = true;
	second.announce();
	await expectSoon('the refuted node is told', () => countTold() > before);
});

test('announcements, probes and seed addresses after dispose are ignored without an error', async context => {
	const first = await startLink(context, 'n1');
	const second = await startLink(context, 'n2');
	first.addSeedAddresses([second.address]);
	await expectSoon('the other node is in the table', () => first.table.get(second.node) !== undefined);
	first.dispose();
	assert.doesNotThrow(() => {
		first.announce();
		first.announceToDomain();
		first.probe(second.node);
		first.addSeedAddresses([toAddress('127.0.0.1:1')]);
	});
});

test('in a large mesh all nodes are notified immediately that a server drains, and a bounded number that it is ready', async context => {
	const nodes = 120;
	let state: ServerState = 'ready';
	const link = await startLink(context, 'n1', {getState: () => state});
	// One socket receives the datagrams for all other nodes.
	const others = createSocket('udp4');
	context.after(() => others.close());
	let heard = 0;
	others.on('message', () => {
		heard++;
	});
	const {host} = parseAddress(link.address);
	await new Promise<void>(resolve => {
		others.bind(0, host, resolve);
	});
	const gossip = toAddress(`${host}:${others.address().port}`);
	for (let index = 0; index < nodes; index++) {
		others.send(encodeReport(createSampleReport({node: toNodeId(`o${index}`), domain: toFailureDomain(index < 40 ? 'a' : 'b'), gossip})), parseAddress(link.address).port, host);
	}

	await expectSoon('each new node is answered', () => heard === nodes);
	link.announce();
	await expectSoon('80 nodes are notified that it is ready', () => heard === nodes + 80);
	state = 'draining';
	link.announce();
	await expectSoon('all nodes are notified that it drains', () => heard === nodes + 80 + nodes);
});

test('an error thrown by the handler of a report does not end the node', async context => {
	let heard = 0;
	const first = await startLink(context, 'n1', {
		handleReport() {
			heard++;
			throw new Error('handler failed');
		},
	});
	const second = await startLink(context, 'n2');
	second.addSeedAddresses([first.address]);
	await expectSoon('a report is received', () => heard > 0);
	second.announce();
	await expectSoon('another report is received', () => heard > 1);
});
