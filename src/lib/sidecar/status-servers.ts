/**
 * HTTP servers for the operation of a sidecar node: its readiness and its
 * metrics.
 *
 * @module
 */
import {Buffer} from 'node:buffer';
import {createServer, type Server} from 'node:http';
import process from 'node:process';
import {type Gauge, type MeshMetrics} from './mesh-metrics.js';

/**
 * @param isReady - Returns whether the node accepts new requests.
 * @returns A server that answers each request with 200 or 503, not listening yet.
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
 * @param gauges - Further values. The memory and processor time of the process are added.
 * @returns A server that answers each request with all metrics as text, not listening yet.
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
