/**
 * Draws the outcomes of callers' requests, one bar for each set of rules under each
 * pattern, and the failure domains over time.
 *
 * @module
 */
import {scaleBand, scaleLinear} from 'd3-scale';
import {line, stack} from 'd3-shape';
import {type DomainSample} from './domain-series.js';
import {type ExperimentResult} from './experiment-result.js';
import {type CountedField} from './outcome-counts.js';

const outcomes = ['inTime', 'late', 'refusedAtOnce', 'refusedLate', 'failed'] as const;
const colours: Readonly<Record<typeof outcomes[number], string>> = {
	inTime: '#2a7f4f', late: '#d9a300', refusedAtOnce: '#8fb3d9', refusedLate: '#3f6fa8', failed: '#b3392f',
};
const labels: Readonly<Record<typeof outcomes[number], string>> = {
	inTime: 'in time', late: 'late', refusedAtOnce: 'refused at once', refusedLate: 'refused later', failed: 'failed',
};

/** Pixels. */
const layout = {
	row: 18, left: 380, width: 1000, top: 40,
} as const;

type Bar = Readonly<Record<typeof outcomes[number], number>> & {readonly name: string};

function createBar({pattern, policy, countsBySeed}: ExperimentResult): Bar {
	const callers = pattern.kinds.filter(({perSecond}) => perSecond > 0);
	const sum = (field: CountedField): number => countsBySeed.reduce((total, counts) => total + callers.reduce((kinds, {name}) => kinds + counts.get(name)![field], 0), 0);
	const requests = Math.max(1, sum('requests'));
	return {
		name: `${pattern.name}: ${policy.name}`, inTime: sum('inTime') / requests, late: sum('late') / requests, refusedAtOnce: sum('refusedAtOnce') / requests,
		refusedLate: sum('refusedLate') / requests, failed: sum('failed') / requests,
	};
}

const escapeText = (text: string): string => text.replaceAll('&', '&amp;').replaceAll('<', '&lt;');

/**
 * @param results - The results to draw.
 * @returns An SVG document.
 */
export function renderPlot(results: readonly ExperimentResult[]): string {
	const bars = results.map(result => createBar(result));
	const height = layout.top + (bars.length * layout.row) + 10;
	const x = scaleLinear([0, 1], [layout.left, layout.width - 20]);
	const y = scaleBand(bars.map(({name}) => name), [layout.top, height - 10]).padding(0.15);
	const layers = stack<Bar, typeof outcomes[number]>().keys(outcomes)(bars);
	const rectangles = layers.flatMap(layer => layer.map(point => {
		const [from, to] = point;
		const position = `x="${x(from).toFixed(1)}" y="${(y(point.data.name) ?? 0).toFixed(1)}"`;
		return `<rect ${position} width="${(x(to) - x(from)).toFixed(1)}" height="${y.bandwidth().toFixed(1)}" fill="${colours[layer.key]}"/>`;
	}));
	const names = bars.map(({name}) => `<text x="${layout.left - 6}" y="${((y(name) ?? 0) + (y.bandwidth() * 0.75)).toFixed(1)}" text-anchor="end">${escapeText(name)}</text>`);
	const legend = outcomes.map((outcome, index) => `<text x="${layout.left + (index * 120)}" y="20" fill="${colours[outcome]}">${labels[outcome]}</text>`);
	return [
		`<svg xmlns="http://www.w3.org/2000/svg" width="${layout.width}" height="${height}" font-family="sans-serif" font-size="11">`,
		'<rect width="100%" height="100%" fill="white"/>',
		...legend,
		...rectangles,
		...names,
		'</svg>',
		'',
	].join('\n');
}

/** Pixels of one panel of the plot over time. */
const panel = {
	width: 1000, height: 170, left: 60, gap: 30,
} as const;

const series = [
	{name: 'demand: requests that entered in 250 ms', read: ({demand}: DomainSample) => demand},
	{name: 'of these, run in another failure domain', read: ({spilled}: DomainSample) => spilled},
	{name: 'work: requests at servers of the domain', read: ({running}: DomainSample) => running},
	{name: 'waiting at gates of the domain', read: ({waiting}: DomainSample) => waiting},
] as const;

const domainColours = ['#2a7f4f', '#d9a300', '#3f6fa8', '#b3392f'];

/**
 * @param samples - The state of each failure domain over time.
 * @returns An SVG document with one panel for each measure and one line for each domain.
 */
export function renderDomainPlot(samples: readonly DomainSample[]): string {
	const domains = [...new Set(samples.map(({domain}) => domain))];
	const x = scaleLinear([0, Math.max(1, ...samples.map(({at}) => at))], [panel.left, panel.width - 20]);
	const panels = series.flatMap(({name, read}, index) => {
		const top = (index * (panel.height + panel.gap)) + panel.gap;
		const y = scaleLinear([0, Math.max(1, ...samples.map(sample => read(sample)))], [top + panel.height, top]).nice();
		const draw = line<DomainSample>(({at}) => x(at), sample => y(read(sample)));
		return [
			`<text x="${panel.left}" y="${top - 8}">${name}</text>`,
			...y.ticks(4).map(tick => `<text x="${panel.left - 6}" y="${y(tick) + 4}" text-anchor="end">${tick}</text><line x1="${panel.left}" x2="${panel.width - 20}" y1="${y(tick)}" y2="${y(tick)}" stroke="#ddd"/>`),
			...domains.map((domain, place) => `<path d="${draw(samples.filter(sample => sample.domain === domain)) ?? ''}" fill="none" stroke="${domainColours[place % domainColours.length]}"/>`),
		];
	});
	const height = (series.length * (panel.height + panel.gap)) + panel.gap;
	return [
		`<svg xmlns="http://www.w3.org/2000/svg" width="${panel.width}" height="${height}" font-family="sans-serif" font-size="11">`,
		'<rect width="100%" height="100%" fill="white"/>',
		...panels,
		...x.ticks(10).map(tick => `<text x="${x(tick)}" y="${height - 8}" text-anchor="middle">${tick / 1000} s</text>`),
		'</svg>',
		'',
	].join('\n');
}
