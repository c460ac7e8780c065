import assert from 'node:assert/strict';
import test from 'node:test';
import fc from 'fast-check';
import {toAddress, toFailureDomain, toNodeId} from '../common/ids.js';
import {chooseAnnouncementTargets} from './announcement-targets.js';
import {createPeerTable, type PeerTable} from './peer-table.js';
import {createSampleReport} from './sample-report.js';

function fillTable(ownDomainCount: number, otherDomainCount: number): PeerTable {
	const table = createPeerTable(toFailureDomain('a'), {
		silenceMs: 900, probeMs: 650, forgetMs: 60_000, avoidMs: 250, getPeriodMs: () => 400,
	});
	for (let index = 0; index < ownDomainCount + otherDomainCount; index++) {
		table.acceptReport(createSampleReport({
			node: toNodeId(`n${index}`), domain: toFailureDomain(index < ownDomainCount ? 'a' : 'b'), gate: toAddress(`10.0.0.1:${index}`), gossip: toAddress(`10.0.0.2:${index}`),
		}), 0);
	}

	return table;
}

test('in a mesh of up to 80 nodes every other node is notified immediately', () => {
	assert.equal(chooseAnnouncementTargets(fillTable(20, 59), Math.random).length, 79);
});

test('property: the number of targets is bounded, no node is notified twice, and nodes of the own and other failure domains are notified', () => {
	fc.assert(fc.property(fc.nat(300), fc.nat(700), fc.double({min: 0, max: 0.999, noNaN: true}), (ownDomainCount, otherDomainCount, drawn) => {
		const names = chooseAnnouncementTargets(fillTable(ownDomainCount, otherDomainCount), () => drawn).map(({report}) => report.node);
		assert.equal(new Set(names).size, names.length);
		assert.ok(names.length <= 80 && names.length >= Math.min(60, ownDomainCount + otherDomainCount));
		const ownDomainNames = names.filter(name => Number(name.slice(1)) < ownDomainCount);
		assert.ok(ownDomainNames.length >= Math.min(ownDomainCount, 60));
		assert.ok(names.length - ownDomainNames.length >= Math.min(otherDomainCount, 20));
	}), {numRuns: 40});
});
