#!/usr/bin/env node
/**
 * The daemon: reads its settings, creates and starts a node, and handles signals.
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

/** Exit codes, as documented in the operators' guide. */
const exitCodes = {badSettings: 2, cannotListen: 3, unfinishedCalls: 4} as const;

async function readSettings(file: string): Promise<Settings | undefined> {
	let text: string;
	try {
		text = await readFile(file, 'utf8');
	} catch (error) {
		process.stderr.write(`${file}: cannot read the settings file: ${(error as Error).message}\n`);
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
		logger.warn('drain timeout: some calls were still in flight');
		process.exitCode = exitCodes.unfinishedCalls;
	}
}

function handleSignals(node: Node, logger: bunyan, close: () => Promise<void>): void {
	let isStopping = false;
	const stop = async (): Promise<void> => {
		if (isStopping) {
			logger.info('received a further signal: this node stops already, once its calls in flight have ended');
			return;
		}

		isStopping = true;
		await stopNode(node, logger);
		await close();
	};

	process.on('SIGTERM', stop);
	let isInterrupted = false;
	process.on('SIGINT', async () => {
		// Whoever presses Ctrl-C again wants the process to end now. Supervisors repeat SIGTERM without that meaning.
		if (isInterrupted) {
			logger.warn('received a second SIGINT: exiting without waiting for calls in flight');
			process.exit(exitCodes.unfinishedCalls);
		}

		isInterrupted = true;
		await stop();
	});
}

async function run(): Promise<void> {
	const {settings: file} = await yargs(hideBin(process.argv))
		.scriptName('stonemoor-node')
		.usage('$0 --settings FILE\n\nRuns the node beside a backend server.')
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
	// Install the handlers before the node listens: once its ports are open, a signal may arrive.
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
