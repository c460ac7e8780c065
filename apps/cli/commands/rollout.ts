/**
 * `rollout list` and `rollout show`: explain rollouts of services from collected
 * logs.
 *
 * @module
 */
import process from 'node:process';
import {explainRollouts, type RolloutExplanation} from '../../../src/index.js';
import {CommandError, exitCodes} from '../exit-codes.js';
import {formatTable} from '../format-table.js';
import {readLogFiles} from '../read-log-files.js';

export type RolloutOptions = {
	/** `undefined` for the rollouts of all services. */
	readonly service: string | undefined;
	readonly files: readonly string[];
	readonly json: boolean;
};

function formatRollout({service, targetVersion, order, stages}: RolloutExplanation): string {
	const rows = stages.map(({stage, ageMs, node, nodes, lastDelayMs, reason}) => [stage, `${(ageMs / 1000).toFixed(1)} s`, node, `${nodes} in ${lastDelayMs} ms`, reason]);
	return `${service} to ${targetVersion}, order ${order}\n${formatTable(['stage', 'after', 'decided by', 'nodes', 'reason'], rows)}\n`;
}

/** Prints the stages of rollouts: when each began, who decided, why, and how soon all nodes knew. */
export function runRollout({service, files, json}: RolloutOptions): void {
	const rollouts = explainRollouts(readLogFiles(files), service);
	if (rollouts.length === 0) {
		throw new CommandError(`no log line shows a rollout${service === undefined ? '' : ` of ${service}`}; pass the logs of all nodes`, exitCodes.refused);
	}

	process.stdout.write(json ? `${JSON.stringify(rollouts)}\n` : rollouts.map(rollout => formatRollout(rollout)).join('\n'));
}
