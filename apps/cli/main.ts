#!/usr/bin/env node
/**
 * `stonemoor`: the operators' command line.
 *
 * @module
 */
import process from 'node:process';
import yargs, {type Argv} from 'yargs';
import {hideBin} from 'yargs/helpers';
import {runExplain} from './commands/explain.js';
import {runExplainVersion} from './commands/explain-version.js';
import {runRollout} from './commands/rollout.js';
import {
	runCall, runDrain, runGet, runRepublish, runServers, runStatus,
} from './commands/inspect.js';
import {
	runCheck, runDiff, runSubmission, runSubmit,
} from './commands/submit.js';
import {runTimeline} from './commands/timeline.js';
import {runWorkspaces} from './commands/workspaces.js';
import {CommandError, exitCodes} from './exit-codes.js';

const addFile = <T>(builder: Argv<T>): Argv<T & {file: string}> => builder.positional('file', {type: 'string', demandOption: true, describe: 'configuration document (YAML)'});

const addLogFiles = <T>(builder: Argv<T>): Argv<T & {files: string[]}> => builder.positional('files', {
	type: 'string', array: true, default: [] as string[], describe: 'logs of all nodes',
});

const addReplace = <T>(builder: Argv<T>): Argv<T & {replace: boolean}> => builder.option('replace', {type: 'boolean', default: false, describe: 'remove the items that the document does not contain'});

const parser = yargs(hideBin(process.argv))
	.scriptName('stonemoor')
	.usage('$0 COMMAND [--node IP:PORT | --settings FILE] [--json]')
	.option('node', {type: 'string', describe: 'address of the operators\' port of any node'})
	.option('settings', {type: 'string', describe: 'settings file of a node, to read the address of its operators\' port'})
	.option('json', {type: 'boolean', default: false, describe: 'print JSON'})
	.command('check <file>', 'validate a configuration document offline', builder => addFile(builder)
		.option('whole', {type: 'boolean', default: false, describe: 'treat references to items outside of the file as errors'}), async options => runCheck(options))
	.command('diff <file>', 'show what a document would change', builder => addReplace(addFile(builder)), async options => runDiff(options))
	.command('submit <file>', 'submit a document', builder => addReplace(addFile(builder))
		.option('id', {type: 'string', describe: 'submission id; submitting the same id again is idempotent'})
		.option('base', {type: 'number', describe: 'version that must be the active one'})
		.option('dry-run', {type: 'boolean', default: false, describe: 'validate only'})
		.option('wait', {type: 'boolean', default: false, describe: 'wait until the version is active on all nodes'})
		.option('timeout', {type: 'number', default: 30, describe: 'timeout of --wait in seconds'}), async options => runSubmit(options))
	.command('submission <id>', 'show the result of a submission', builder => builder.positional('id', {type: 'string', demandOption: true}), async options => runSubmission(options))
	.command('get', 'print the active configuration', builder => builder, async options => runGet(options))
	.command('status', 'show the active versions in the fleet', builder => builder, async options => runStatus(options))
	.command('servers', 'list the backend servers', builder => builder, async options => runServers(options))
	.command('drain', 'drain the backend servers beside the node', builder => builder.option('server', {type: 'string', describe: 'drain only this server'}), async options => runDrain(options))
	.command('republish', 'write the fleet\'s configuration to a store restored from an older backup', builder => builder, async options => runRepublish(options))
	.command('timeline', 'print the events of all nodes in causal order', builder => builder
		.option('only-node', {type: 'string', describe: 'events of this node only'})
		.option('call', {type: 'string', describe: 'events of this call only'})
		.option('version', {type: 'number', describe: 'events of this configuration version only'})
		.option('follow', {type: 'boolean', default: false, describe: 'keep printing new events'}), async options => runTimeline(options))
	.command('call <url>', 'send one request and show its verdict', builder => builder
		.positional('url', {type: 'string', demandOption: true, describe: 'address of a node\'s callers\' port, and a path'})
		.option('method', {type: 'string', default: 'GET'})
		.option('host', {type: 'string', describe: 'value of the Host header'})
		.option('header', {
			type: 'string', array: true, default: [] as string[], describe: '"name: value"',
		})
		.option('explain', {type: 'boolean', default: false, describe: 'show the route and the decision first (needs --node or --settings)'}), async options => runCall(options))
	.command('explain <id> [files..]', 'explain the result of a request from the logs of sidecar nodes (files, or the standard input)', builder => builder
		.positional('id', {type: 'string', demandOption: true, describe: 'id of the request'})
		.positional('files', {
			type: 'string', array: true, default: [] as string[], describe: 'logs of any number of nodes',
		}), options => {
		runExplain(options);
	})
	.command('explain-version <number> [files..]', 'explain when each node applied a version and what the slow ones waited for, from the logs of sidecar nodes', builder => builder
		.positional('number', {type: 'number', demandOption: true, describe: 'the version'})
		.positional('files', {
			type: 'string', array: true, default: [] as string[], describe: 'logs of all nodes',
		}), options => {
		runExplainVersion({...options, version: options.number});
	})
	.command('workspaces <addresses..>', 'show which workspaces send requests, and why those that are not answered are refused, from the metrics of sidecar nodes', builder => builder
		.positional('addresses', {
			type: 'string', array: true, demandOption: true, describe: 'IP:PORT of the metrics of each node',
		})
		.option('seconds', {type: 'number', default: 5, describe: 'time between the two readings of the metrics'}), async options => runWorkspaces(options))
	.command('rollout', 'explain rollouts of services, from the logs of sidecar nodes', builder => builder
		.command('list [files..]', 'list the rollouts of all services with their stages', list => addLogFiles(list), ({files}) => {
			runRollout({files, service: undefined, json: false});
		})
		.command('show <service> [files..]', 'explain the stages of the rollouts of a service and the figures that decided them', show => addLogFiles(show)
			.positional('service', {type: 'string', demandOption: true, describe: 'the service'})
			.option('json', {type: 'boolean', default: false, describe: 'print JSON'}), options => {
			runRollout(options);
		})
		.demandCommand(1, 'no command given: list or show'))
	.version(false)
	.completion('completion', 'print a shell completion script')
	.demandCommand(1, 'no command given')
	.strict()
	.help()
	.fail((message, error) => {
		if (error instanceof CommandError) {
			throw error;
		}

		throw error ?? new CommandError(`${message}; "stonemoor --help" lists the commands`, exitCodes.usage);
	});

try {
	await parser.parseAsync();
} catch (error) {
	process.stderr.write(`stonemoor: ${(error as Error).message}\n`);
	process.exitCode = error instanceof CommandError ? error.exitCode : exitCodes.refused;
}
