/**
 * Checks that the names of the platform's interface occur only in its adapter
 * `platform/`, in `deploy/` and in the stand-ins for the platform's programs.
 *
 * @module
 */
import {readdirSync, readFileSync} from 'node:fs';
import {join} from 'node:path';
import process from 'node:process';

const roots: readonly string[] = ['src', 'apps', 'demo', 'bench', 'scenarios', 'soak', 'crowds'];

/** Names of the platform's interface: headers, paths, keys and fields of its messages. */
const platformNames: readonly RegExp[] = [
	/stonemoor-(attempt-id|deadline-ms|response-signature|expected-instance|caller-service|not-executed|instance-id|server-load|tenant)/i,
	/\/v1\/(kv|rpc|ready)/,
	/kv-(key|range|watch|txn|lease|keep)/,
	/\bop\/config\b/,
	/instances\.(heartbeat|leave)/,
	/\b(route-type|target-latency|max-attempts|weighted-services|health-check-path|max-connections|cold-remaining|store-revision|allow-stale|has-more|ttl_time)\b/,
	/\b(api-keys|allow-anonymous|rate-per-s|allowed-regions)\b/,
	/STONEMOOR_CONFIG/,
];

function listFiles(folder: string): readonly string[] {
	let entries;
	try {
		entries = readdirSync(folder, {withFileTypes: true});
	} catch {
		// A root that does not exist holds no files.
		return [];
	}

	return entries.flatMap(entry => {
		const path = join(folder, entry.name);
		return entry.isDirectory() ? listFiles(path) : [path];
	}).filter(path => path.endsWith('.ts'));
}

function listPlatformNames(path: string): readonly string[] {
	return readFileSync(path, 'utf8').split('\n').flatMap((line, index) => {
		const name = platformNames.find(pattern => pattern.test(line));
		return name === undefined ? [] : [`${path}:${index + 1}: name of the platform's interface used outside platform/: ${line.trim()}`];
	});
}

const found = roots.flatMap(root => listFiles(root)).flatMap(path => listPlatformNames(path));
process.stdout.write(found.map(line => `${line}\n`).join(''));
process.exitCode = found.length === 0 ? 0 : 1;
