#!/usr/bin/env node
/**
 * The daemon: reads its settings, wires the library and handles signals.
 *
 * @module
 */
import {readFile} from 'node:fs/promises';
import process from 'node:process';
import bunyan from 'bunyan';
import yargs from 'yargs';
import {hideBin} from 'yargs/helpers';
import {
	createHttpStore, createNode, formatSettingsProblem, formatStartError, parseSettings,
	type Node, type Settings, type TimelineEvent,
} from '../../src/index.js';

/** Exit codes, as in the operators' guide. */
const exitCodes = {badSettings: 2, cannotListen: 3, unfinishedCalls: 4} as const;

async function readSettings(file: string): Promise<Settings | undefined> {
	let text: string;
	try {
		text = await readFile(file, 'utf8');
	} catch (error) {
		process.stderr.write(`${file}: cannot be read: ${(error as Error).message}\n`);
		return undefined;
	}

	return parseSettings(text).match(
		settings => settings,
		problems => {
			process.stderr.write(problems.map(problem => `${formatSettingsProblem(problem, file)}\n`).join(''));
			return undefined;
		},
	);
}

const debugKinds: ReadonlySet<TimelineEvent['kind']> = new Set(['call-finished', 'attempt-failed']);

function createEventLogger(logger: bunyan): (event: TimelineEvent) => void {
	return event => {
		const {kind, ...details} = event;
		if (debugKinds.has(kind)) {
			logger.debug(details, kind);
		} else {
			logger.info(details, kind);
		}
	};
}

async function stopNode(node: Node, logger: bunyan): Promise<void> {
	const isDone = await node.drain();
	if (!isDone) {
		logger.warn('some calls had not ended when the time to drain was over');
		process.exitCode = exitCodes.unfinishedCalls;
	}
}

function handleSignals(node: Node, logger: bunyan, close: () => Promise<void>): void {
	let isStopping = false;
	const handleSignal = async (): Promise<void> => {
		if (isStopping) {
			logger.warn('second signal: stopping at once');
			process.exit(exitCodes.unfinishedCalls);
		}

		isStopping = true;
		await stopNode(node, logger);
		await close();
	};

	process.on('SIGTERM', handleSignal);
	process.on('SIGINT', handleSignal);
}

async function run(): Promise<void> {
	const {settings: file} = await yargs(hideBin(process.argv))
		.scriptName('stonemoor-node')
		.usage('$0 --settings FILE\n\nRuns the node that stands beside a backend server.')
		.option('settings', {type: 'string', demandOption: true, describe: 'settings file (YAML)'})
		.strict()
		.parseAsync();
	const settings = await readSettings(file);
	if (settings === undefined) {
		process.exitCode = exitCodes.badSettings;
		return;
	}

	const logger = bunyan.createLogger({name: 'stonemoor-node', node: settings.node, level: settings.logLevel});
	const store = createHttpStore(settings.store);
	const node = createNode(settings, {store, random: Math.random, handleEvent: createEventLogger(logger)});
	// Before anything listens: whoever finds the node's ports open may send it a signal.
	handleSignals(node, logger, async () => store.dispose());
	const started = await node.start();
	if (started.isErr()) {
		process.stderr.write(`${file}: ${formatStartError(started.error)}\n`);
		await node.dispose();
		await store.dispose();
		process.exitCode = exitCodes.cannotListen;
	}
}

await run();
