/**
 * Measures the cost of a call for a node that is the entry of one call and the
 * gate of another, like every node of a fleet with evenly spread calls.
 *
 * @module
 */
import {Agent} from 'undici';
import {startCallFleet} from '../calls/call-fleet.js';
import {createSender, runLoad} from '../calls/load.js';
import {measureInProcessCalls, type PathLatency} from '../calls/in-process-calls.js';
import {createSlope, type Slope} from './slopes.js';

const callRatesPerSecond = [50, 100, 200, 300] as const;
const nodeCount = 3;
const loadSeconds = 6;

/** Cost of calls, and the latency that the mesh adds to a direct call of the backend server. */
export type CallMeasurements = {
	readonly slopes: readonly Slope[];
	/** 99th percentile through the mesh minus that of direct calls, in one process with sequential calls. */
	readonly addedP99Ms: number;
};

/** Measures the processor time of a node by the rate of calls. */
export async function measureCallCosts(): Promise<CallMeasurements> {
	const fleet = await startCallFleet({nodeCount, slotsPerServer: 12, workMs: 0});
	const agent = new Agent({connections: 100, pipelining: 1});
	const sendOnce = createSender(agent);
	let nextIndex = 0;
	const send = async (path: string): ReturnType<typeof sendOnce> => {
		nextIndex++;
		return sendOnce(fleet.nodes[nextIndex % nodeCount]?.address ?? '', path);
	};

	await runLoad(send, nodeCount * 200, 3);
	const points: Array<[number, number]> = [];
	for (const rate of callRatesPerSecond) {
		await Promise.all(fleet.nodes.map(async node => node.fetchReport()));
		await runLoad(send, rate * nodeCount, loadSeconds);
		const reports = await Promise.all(fleet.nodes.map(async node => node.fetchReport()));
		let usedMicroseconds = 0;
		for (const {cpuMicroseconds} of reports) {
			usedMicroseconds += cpuMicroseconds;
		}

		points.push([rate, usedMicroseconds / nodeCount / loadSeconds]);
	}

	await agent.destroy();
	await fleet.dispose();
	const paths = await measureInProcessCalls();
	const getP99 = (path: PathLatency['path']): number => paths.find(row => row.path === path)?.p99Ms ?? 0;
	return {
		slopes: [createSlope('processor time of a node a second, calls', 'call a second', 'microseconds', points)],
		addedP99Ms: getP99('through another node') - getP99('direct'),
	};
}
