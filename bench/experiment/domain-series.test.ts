import assert from 'node:assert/strict';
import test from 'node:test';
import {type DomainSample} from './domain-series.js';
import {runWithSeries} from './mesh-model.js';
import {patterns, type Pattern} from './pattern.js';
import {renderDomainPlot} from './plot.js';
import {policies, type Policy} from './policy.js';

const getPolicy = (name: string): Policy => policies.find(policy => policy.name === name)!;

/** A third of the pattern `uneven servers, full`, over one swing of the demand. */
function createSmallPattern(changes: Partial<Pattern> = {}): Pattern {
	const full = patterns.find(({name}) => name === 'uneven servers, full')!;
	return {
		...full, durationMs: 15_000,
		services: full.services.map(service => ({...service, speeds: service.speeds.slice(0, Math.ceil(service.speeds.length / 3))})),
		kinds: full.kinds.map(kind => ({...kind, perSecond: kind.perSecond / 3})), ...changes,
	};
}

function computeSpilledShare(series: readonly DomainSample[]): number {
	return series.reduce((sum, {spilled}) => sum + spilled, 0) / series.reduce((sum, {demand}) => sum + demand, 0);
}

// Guards against a failure domain at its peak that fills the others, whose own requests then have to leave them.
test('failure domains that take turns at their peak: a third fewer requests cross domains with reserved slots, and as many are answered in time', () => {
	const run = (policy: string): {readonly spilled: number; readonly inTime: number} => {
		const {series, counts} = runWithSeries(createSmallPattern(), getPolicy(policy), 1);
		const sum = (field: 'inTime' | 'requests'): number => [...counts.values()].reduce((total, kind) => total + kind[field], 0);
		return {spilled: computeSpilledShare(series), inTime: sum('inTime') / sum('requests')};
	};

	const reserved = run('standard');
	const before = run('no slots reserved');
	assert.ok(reserved.spilled < before.spilled * 0.67, `${reserved.spilled} of the requests, ${before.spilled} before`);
	assert.ok(reserved.inTime > before.inTime - 0.01, `${reserved.inTime} in time, ${before.inTime} before`);
});

test('a failure domain that is lost while it takes the overflow of the others: they serve its callers, and all return to their domains', () => {
	const calm = createSmallPattern({kinds: createSmallPattern().kinds.map(kind => ({...kind, perSecond: kind.perSecond * 0.6}))});
	const {series, counts} = runWithSeries({
		...calm, disturbances: [{
			type: 'domain-lost', fromMs: 4000, toMs: 8000, domain: 1,
		}],
	}, getPolicy('standard'), 1);
	const {requests, inTime, late} = counts.get('log')!;
	assert.ok((inTime + late) / requests > 0.95, `${inTime + late} of ${requests} answered`);
	const lost = series.filter(({at, domain}) => domain === 'd1' && at >= 5500 && at < 7750);
	assert.ok(lost.every(({demand}) => demand === 0));
	const isAfter = ({at}: DomainSample): boolean => at >= 10_000;
	const undisturbed = computeSpilledShare(runWithSeries(calm, getPolicy('standard'), 1).series.filter(sample => isAfter(sample)));
	const after = computeSpilledShare(series.filter(sample => isAfter(sample)));
	assert.ok(after < undisturbed + 0.05, `${after} of the requests cross domains, ${undisturbed} without the loss`);
});

test('the plot has a line for each measure of each failure domain', () => {
	const {series} = runWithSeries({...createSmallPattern(), durationMs: 2000}, getPolicy('standard'), 1);
	assert.equal(renderDomainPlot(series).match(/<path/g)?.length, 12);
});
