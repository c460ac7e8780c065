/**
 * The benches. Each prints the tables that the docs quote.
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
import {runLargeSubmission} from './large-submission.js';
import {runDistribution} from './distribution.js';
import {runLogLines} from './log-lines.js';
import {runPeerSlopes} from './peer-slopes.js';
import {runNodeCost} from './node-cost/node-cost.js';
import {runQuarantine} from './quarantine.js';
import {runServerRestart} from './server-restart.js';
import {runStoreRestore} from './store-restore.js';

await yargs(hideBin(process.argv))
	.scriptName('bench')
	.command('distribution', 'convergence and cost of distribution', builder => builder
		.option('sizes', {
			type: 'number', array: true, default: [13, 50, 100, 200], describe: 'nodes',
		})
		.option('seconds', {type: 'number', default: 10, describe: 'length of each steady phase'})
		.option('domains', {type: 'number', default: 3, describe: 'failure domains'})
		.option('workers', {type: 'number', default: 5, describe: 'processes that host the nodes'})
		.option('batch-window-ms', {type: 'number', default: 50, describe: 'for which a relay gathers changes'})
		.option('period-ms', {type: 'number', default: 1000, describe: 'between heartbeats'})
		.option('faults', {type: 'boolean', default: true, describe: 'measure under faults too'})
		.option('baselines', {type: 'boolean', default: true, describe: 'measure the baselines too'}), async options => runDistribution(options))
	.command('calls', 'added latency, goodput and faults', builder => builder
		.option('seconds', {type: 'number', default: 6, describe: 'length of each row'})
		.option('only', {type: 'string', default: '', describe: 'only the conditions whose names contain this, without the added time'}), async options => runCalls(options))
	.command('capacity', 'measure the slopes and write the tables of docs/CAPACITY.md', builder => builder, async () => runCapacity())
	.command('capacity-page', 'write the tables again from the measurements on file', builder => builder, async () => renderCapacityPage())
	.command('large', 'a configuration of 3,200 services as one submission', builder => builder, async () => runLargeSubmission())
	.command('experiment', 'who waits, who is refused and where work goes, in a model under patterns of load', builder => builder
		.option('seeds', {type: 'number', default: 5, describe: 'plays of each'})
		.option('patterns', {
			type: 'string', array: true, default: [] as string[], describe: 'only patterns whose names contain one of these',
		})
		.option('policies', {
			type: 'string', array: true, default: [] as string[], describe: 'only rules whose names contain one of these; the first is compared with',
		})
		.option('csv', {type: 'string', describe: 'file for all figures'})
		.option('svg', {type: 'string', describe: 'file for a plot'})
		.option('kinds', {type: 'boolean', default: false, describe: 'a row for each kind of request'}), options => {
		runExperiment({...options, csv: options.csv, svg: options.svg});
	})
	.command('node-cost', 'what one node costs in meshes of different sizes', builder => builder
		.option('sizes', {
			type: 'number', array: true, default: [13, 61, 195, 390], describe: 'nodes',
		})
		.option('seconds', {type: 'number', default: 10, describe: 'length of each phase'})
		.option('rate', {type: 'number', default: 15, describe: 'requests a second at the entry, and as many at the gate'})
		.option('routes', {type: 'number', default: 1200, describe: 'routes of the configuration'})
		.option('program', {type: 'string', default: 'target/sidecar.cjs', describe: 'the bundle, as the deploy file builds it'})
		.option('work-ms', {type: 'number', default: 150, describe: 'that requests take at backend servers'})
		.option('clocks-apart-ms', {type: 'number', default: 5, describe: 'by which the clocks of the other nodes differ at the most'})
		.option('load', {type: 'boolean', default: true, describe: 'measure calls too'})
		.option('flags', {type: 'string', default: '--max-old-space-size=128 --max-semi-space-size=4 --single-threaded --always-sparkplug --no-flush-bytecode --no-memory-reducer', describe: 'of Node.js, for the node'})
		.option('profile', {type: 'string', describe: 'folder for profiles of the processor time'}), async options => runNodeCost({...options, flags: options.flags.split(' ')}))
	.command('peer-slopes', 'what a node does for the others, by their number', builder => builder
		.option('sizes', {
			type: 'number', array: true, default: [13, 60, 200, 1000, 5000], describe: 'nodes',
		}), options => {
		runPeerSlopes(options.sizes);
	})
	.command('server-return', 'how long a backend server that starts again under its id waits for work', builder => builder
		.option('rounds', {type: 'number', default: 20, describe: 'returns of each kind'})
		.option('limit-ms', {type: 'number', default: 10_000, describe: 'after which a return is given up'})
		.option('only', {type: 'string', default: '', describe: 'only the kinds whose names contain this'}), async options => runServerRestart(options))
	.command('store-drill', 'a store that comes back from a copy, beside one that was only away', builder => builder
		.option('seeds', {type: 'number', default: 50, describe: 'returns of each kind'})
		.option('nodes', {type: 'number', default: 13, describe: 'nodes'}), async options => runStoreRestore(options))
	.command('quarantine', 'requests that crash backend servers, and crashes of other causes', builder => builder
		.option('first-seed', {type: 'number', default: 1, describe: 'seed of the first play'})
		.option('seeds', {type: 'number', default: 50, describe: 'plays'})
		.option('nodes', {type: 'number', default: 13, describe: 'nodes'})
		.option('seconds', {type: 'number', default: 16, describe: 'of each play'}), async options => runQuarantine(options))
	.command('quarantine-curve', 'false suspicion and missed requests, by the rate of other crashes, in a model', builder => builder
		.option('seeds', {type: 'number', default: 20, describe: 'plays of each case'})
		.option('svg', {type: 'string', describe: 'file for a plot'}), options => {
		runQuarantineCurve({seeds: options.seeds, svg: options.svg});
	})
	.command('log-lines', 'what a line of the log costs', builder => builder, async () => runLogLines())
	.demandCommand(1)
	.strict()
	.parseAsync();
