/**
 * Command line of the benches. Each bench prints the tables that the docs quote.
 *
 * @module
 */
import process from 'node:process';
import yargs from 'yargs';
import {hideBin} from 'yargs/helpers';
import {renderCapacityPage, runCapacity} from './capacity/capacity.js';
import {runCalls} from './calls/calls.js';
import {runExperiment} from './experiment/experiment.js';
import {runQuarantineCurve} from './experiment/quarantine-curve.js';
import {runLimitTable} from './experiment/limit-table.js';
import {runLargeSubmission} from './large-submission.js';
import {runDistribution} from './distribution.js';
import {runLogLines} from './log-lines.js';
import {runPeerSlopes} from './peer-slopes.js';
import {runRequestCost} from './request-cost/request-cost.js';
import {runNodeCost} from './node-cost/node-cost.js';
import {runQuotaTable} from './experiment/quota-table.js';
import {runQuarantine} from './quarantine.js';
import {runRolloutTable} from './experiment/rollout-table.js';
import {runServerRestart} from './server-restart.js';
import {runStoreRestore} from './store-restore.js';

await yargs(hideBin(process.argv))
	.scriptName('bench')
	.command('distribution', 'measure convergence and cost of the distribution', builder => builder
		.option('sizes', {
			type: 'number', array: true, default: [13, 50, 100, 200], describe: 'numbers of nodes',
		})
		.option('seconds', {type: 'number', default: 10, describe: 'seconds of each steady phase'})
		.option('domains', {type: 'number', default: 3, describe: 'number of failure domains'})
		.option('workers', {type: 'number', default: 5, describe: 'number of processes that host the nodes'})
		.option('batch-window-ms', {type: 'number', default: 50, describe: 'time for which a relay batches changes'})
		.option('period-ms', {type: 'number', default: 1000, describe: 'time between heartbeats'})
		.option('faults', {type: 'boolean', default: true, describe: 'also measure under faults'})
		.option('baselines', {type: 'boolean', default: true, describe: 'also measure the baselines'}), async options => runDistribution(options))
	.command('calls', 'measure added latency, and goodput under load and faults', builder => builder
		.option('seconds', {type: 'number', default: 6, describe: 'seconds of each condition'})
		.option('only', {type: 'string', default: '', describe: 'only the conditions whose names contain this text; skips the added latency'}), async options => runCalls(options))
	.command('capacity', 'measure the slopes and write the tables of docs/CAPACITY.md', builder => builder, async () => runCapacity())
	.command('capacity-page', 'write the tables from the stored measurements', builder => builder, async () => renderCapacityPage())
	.command('large', 'measure one submission with a configuration of 3,200 services', builder => builder, async () => runLargeSubmission())
	.command('experiment', 'compare queueing, refusal and routing rules in a model under load patterns', builder => builder
		.option('seeds', {type: 'number', default: 5, describe: 'number of seeds for each pattern and set of rules'})
		.option('patterns', {
			type: 'string', array: true, default: [] as string[], describe: 'only patterns whose names contain one of these texts',
		})
		.option('policies', {
			type: 'string', array: true, default: [] as string[], describe: 'only sets of rules whose names contain one of these texts; the first is the reference',
		})
		.option('csv', {type: 'string', describe: 'CSV file for the counts'})
		.option('svg', {type: 'string', describe: 'SVG file for a plot'})
		.option('domain-svg', {type: 'string', describe: 'SVG file for the failure domains over time, of the first pattern and set of rules'})
		.option('kinds', {type: 'boolean', default: false, describe: 'print a row for each kind of request'}), options => {
		runExperiment({
			...options, csv: options.csv, svg: options.svg, domainSvg: options['domain-svg'],
		});
	})
	.command('rollouts', 'run a model of rollouts of good and bad versions, calm and beside other trouble', builder => builder
		.option('seeds', {type: 'number', default: 20, describe: 'number of seeds for each row'})
		.option('servers', {
			type: 'number', array: true, default: [9, 32], describe: 'numbers of servers of the service',
		})
		.option('versions', {
			type: 'string', array: true, default: [] as string[], describe: 'only these kinds of versions',
		})
		.option('troubles', {
			type: 'string', array: true, default: [] as string[], describe: 'only these kinds of trouble',
		}), options => {
		runRolloutTable(options);
	})
	.command('limits', 'run a model of the limit of a backend server, kept at its gate or in shares at the entries', builder => builder
		.option('seeds', {type: 'number', default: 10, describe: 'number of seeds for each row'})
		.option('sizes', {
			type: 'number', array: true, default: [13, 74, 195], describe: 'numbers of nodes',
		})
		.option('limits', {
			type: 'number', array: true, default: [1, 23.4, 200], describe: 'limits in requests per second',
		}), options => {
		runLimitTable(options);
	})
	.command('quotas', 'run a model of the quota of a workspace, lent to a coordinator or kept in shares', builder => builder
		.option('sizes', {
			type: 'number', array: true, default: [13, 75, 300], describe: 'numbers of nodes',
		})
		.option('seconds', {type: 'number', default: 20, describe: 'seconds of each row'}), options => {
		runQuotaTable(options);
	})
	.command('node-cost', 'measure the cost of one node in meshes of different sizes', builder => builder
		.option('sizes', {
			type: 'number', array: true, default: [13, 61, 195, 390], describe: 'numbers of nodes',
		})
		.option('seconds', {type: 'number', default: 10, describe: 'seconds of each phase'})
		.option('rate', {type: 'number', default: 15, describe: 'requests a second at the entry, and the same number at the gate'})
		.option('routes', {type: 'number', default: 1200, describe: 'number of routes of the configuration'})
		.option('program', {type: 'string', default: 'target/sidecar.cjs', describe: 'path of the bundle that the deploy file builds'})
		.option('work-ms', {type: 'number', default: 150, describe: 'time that requests take at backend servers'})
		.option('clocks-apart-ms', {type: 'number', default: 5, describe: 'maximum difference between the clocks of the other nodes'})
		.option('departing', {type: 'number', default: 0, describe: 'share of the other nodes whose reports contain a departure'})
		.option('load', {type: 'boolean', default: true, describe: 'also measure calls'})
		.option('flags', {type: 'string', default: '--max-old-space-size=128 --max-semi-space-size=4 --single-threaded --always-sparkplug --no-flush-bytecode --no-memory-reducer', describe: 'Node.js flags of the node'})
		.option('profile', {type: 'string', describe: 'folder for CPU profiles'}), async options => runNodeCost({...options, flags: options.flags.split(' ')}))
	.command('request-cost', 'measure the processor time of a request by stage, beside that of another revision', builder => builder
		.option('base', {type: 'string', default: '', describe: 'revision to compare with; none if omitted'})
		.option('rate', {type: 'number', default: 300, describe: 'requests of callers a second, over all nodes'})
		.option('seconds', {type: 'number', default: 20, describe: 'seconds of load'})
		.option('slots', {type: 'number', default: 13, describe: 'requests that a backend server runs at the same time'})
		.option('seed', {type: 'number', default: 1, describe: 'seed of the load'})
		.option('functions', {type: 'number', default: 0, describe: 'number of functions to list'}), async options => runRequestCost(options))
	.command('peer-slopes', 'measure the periodic work of a node by the number of nodes', builder => builder
		.option('sizes', {
			type: 'number', array: true, default: [13, 60, 200, 1000, 5000], describe: 'numbers of nodes',
		}), options => {
		runPeerSlopes(options.sizes);
	})
	.command('server-return', 'measure how long a backend server that restarts under the same id waits for its first request', builder => builder
		.option('rounds', {type: 'number', default: 20, describe: 'restarts of each kind'})
		.option('limit-ms', {type: 'number', default: 10_000, describe: 'timeout of a restart'})
		.option('only', {type: 'string', default: '', describe: 'only the kinds whose names contain this text'}), async options => runServerRestart(options))
	.command('store-drill', 'compare a store that is restored from a backup with a plain store outage', builder => builder
		.option('seeds', {type: 'number', default: 50, describe: 'outages of each kind'})
		.option('nodes', {type: 'number', default: 13, describe: 'number of nodes'}), async options => runStoreRestore(options))
	.command('quarantine', 'measure the quarantine with requests that crash backend servers and with unrelated crashes', builder => builder
		.option('first-seed', {type: 'number', default: 1, describe: 'seed of the first run'})
		.option('seeds', {type: 'number', default: 50, describe: 'number of seeds'})
		.option('nodes', {type: 'number', default: 13, describe: 'number of nodes'})
		.option('seconds', {type: 'number', default: 16, describe: 'seconds of each run'}), async options => runQuarantine(options))
	.command('quarantine-curve', 'simulate false suspicion and detection by the quarantine, by the rate of unrelated crashes', builder => builder
		.option('seeds', {type: 'number', default: 20, describe: 'number of seeds for each case'})
		.option('svg', {type: 'string', describe: 'SVG file for a plot'}), options => {
		runQuarantineCurve({seeds: options.seeds, svg: options.svg});
	})
	.command('log-lines', 'measure the processor time of a log line', builder => builder, async () => runLogLines())
	.demandCommand(1)
	.strict()
	.parseAsync();
