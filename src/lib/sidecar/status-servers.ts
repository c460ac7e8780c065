/**
 * What a sidecar node tells those who look after it: whether it is ready, and
 * its metrics.
 *
 * @module
 */
import {Buffer} from 'node:buffer';
import {createServer, type Server} from 'node:http';
import process from 'node:process';
import {type Gauge, type MeshMetrics} from './mesh-metrics.js';

/**
 * @param isReady - Whether the node takes new work.
 * @returns A server that answers 200 or 503 to everything, not listening yet.
 * @internal
 */
export function createReadinessServer(isReady: () => boolean): Server {
	return createServer((_request, response) => {
		response.writeHead(isReady() ? 200 : 503, {'content-length': 0});
		response.end();
	});
}

function readCpuSeconds(): number {
	const {user, system} = process.cpuUsage();
	return (user + system) / 1_000_000;
}

const processGauges: readonly Gauge[] = [
	{name: 'stonemoor_resident_bytes', help: 'Memory of the process', read: () => process.memoryUsage.rss()},
	{name: 'stonemoor_cpu_seconds_total', help: 'Processor time of the process', read: readCpuSeconds},
];

/**
 * @param metrics - Counters and histograms.
 * @param gauges - What else is told; the process's own memory and processor time are added.
 * @returns A server that answers with all of these as text, not listening yet.
 * @internal
 */
export function createMetricsServer(metrics: MeshMetrics, gauges: readonly Gauge[]): Server {
	const allGauges = [...gauges, ...processGauges];
	return createServer((_request, response) => {
		const text = metrics.format(allGauges);
		response.writeHead(200, {'content-type': 'text/plain; version=0.0.4', 'content-length': Buffer.byteLength(text)});
		response.end(text);
	});
}
