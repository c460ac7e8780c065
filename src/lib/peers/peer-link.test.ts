import assert from 'node:assert/strict';
import process from 'node:process';
import test, {type TestContext} from 'node:test';
import {expectSoon} from '../../../stand-ins/wait-until.js';
import {
	toAddress, toFailureDomain, toNodeId, type NodeId,
} from '../common/ids.js';
import {silentLog} from '../timeline/mesh-log.js';
import {silentRefusals} from '../timeline/refusals.js';
import {createPeerLink, type PeerLink} from './peer-link.js';
import {type PeerLimits} from './peer-table.js';
import {createSampleReport} from './sample-report.js';

const limits: PeerLimits = {
	silenceMs: 60_000, probeMs: 60_000, forgetMs: 600_000, avoidMs: 250, getPeriodMs: () => 60_000,
};

let hosts = 0;

/** A link whose own heartbeats are so seldom that a test sees none but those it causes. */
async function startLink(context: TestContext, name: string): Promise<PeerLink & {readonly node: NodeId; readonly address: ReturnType<typeof toAddress>}> {
	hosts++;
	const address = toAddress(`127.78.${process.pid % 250}.${hosts}:7103`);
	const node = toNodeId(name);
	const link = createPeerLink({
		settings: {
			...limits, node, listen: address, domain: toFailureDomain('a'), periodMs: 60_000,
		},
		describeSelf: sequence => createSampleReport({node, gossip: address, sequence}),
		isFollowing: () => false,
		log: silentLog,
		refusals: silentRefusals,
		handleReport: () => undefined,
	});
	await link.start();
	context.after(link.dispose);
	return {...link, node, address};
}

test('nodes that meet know one another, and a node that is asked for a report answers at once', async context => {
	const first = await startLink(context, 'n1');
	const second = await startLink(context, 'n2');
	first.addContacts([second.address]);
	await expectSoon('they know one another', () => first.table.get(second.node) !== undefined && second.table.get(first.node) !== undefined);
	const before = first.table.get(second.node)!.report.sequence;
	first.probe(second.node);
	assert.notEqual(first.table.get(second.node)?.probedAt, undefined);
	await expectSoon('a report comes', () => first.table.get(second.node)!.report.sequence > before);
	assert.equal(first.table.get(second.node)?.probedAt, undefined);
});

test('news that come up while a node ends are not sent, and are no fault', async context => {
	const first = await startLink(context, 'n1');
	const second = await startLink(context, 'n2');
	first.addContacts([second.address]);
	await expectSoon('the other is known', () => first.table.get(second.node) !== undefined);
	first.dispose();
	assert.doesNotThrow(() => {
		first.announce();
		first.announceToDomain();
		first.probe(second.node);
		first.addContacts([toAddress('127.0.0.1:1')]);
	});
});
