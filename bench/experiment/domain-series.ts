/**
 * Records the demand, the work and the waiting requests of each failure domain over
 * the simulated time.
 *
 * @module
 */
import {type Simulation} from './simulation.js';

/** The state of one failure domain in one interval. */
export type DomainSample = {
	/** Start of the interval, in simulated milliseconds. */
	readonly at: number;
	readonly domain: string;
	/** Requests of callers that arrived at nodes of the domain. */
	readonly demand: number;
	/** Requests at servers of the domain at the end of the interval, and those that waited at their gates. */
	readonly running: number;
	readonly waiting: number;
	/** Requests that entered in the domain and were run in another one. */
	readonly spilled: number;
};

/** @internal */
export type DomainSeries = {
	readonly recordDemand: (node: number) => void;
	readonly recordRun: (entry: number, server: number) => void;
	readonly start: (simulation: Simulation) => void;
	readonly list: () => readonly DomainSample[];
};

/** Length of an interval in milliseconds. */
const intervalMs = 250;

/**
 * @param getDomain - Returns the failure domain of a node.
 * @returns A recorder, not started.
 */
export function createDomainSeries(getDomain: (node: number) => string): DomainSeries {
	const samples: DomainSample[] = [];
	const demand = new Map<string, number>();
	const spilled = new Map<string, number>();
	const add = (counts: Map<string, number>, domain: string): void => {
		counts.set(domain, (counts.get(domain) ?? 0) + 1);
	};

	const start = ({events, nodes, servers}: Simulation): void => {
		const domains = [...new Set(nodes.map(({domain}) => domain))];
		const record = (): void => {
			for (const domain of domains) {
				const loads = servers.filter(({node}) => getDomain(node) === domain).map(server => server.getLoad());
				samples.push({
					at: events.getNow() - intervalMs, domain, demand: demand.get(domain) ?? 0, spilled: spilled.get(domain) ?? 0,
					running: loads.reduce((sum, {running}) => sum + running, 0), waiting: loads.reduce((sum, {waiting}) => sum + waiting, 0),
				});
			}

			demand.clear();
			spilled.clear();
			events.schedule(intervalMs, record);
		};

		events.schedule(intervalMs, record);
	};

	return {
		recordDemand(node) {
			add(demand, getDomain(node));
		},
		recordRun(entry, server) {
			if (getDomain(entry) !== getDomain(server)) {
				add(spilled, getDomain(entry));
			}
		},
		start,
		list: () => samples,
	};
}
