#!/usr/bin/env node
/**
 * The daemon of a sidecar node on the users' platform: reads its settings,
 * connects the library to the platform's adapter and handles signals.
 *
 * @module
 */
import {readFileSync, statSync} from 'node:fs';
import process from 'node:process';
import {err, type Result} from 'neverthrow';
import {createPlatform} from '../../platform/index.js';
import {applyGrowthFactor} from '../../src/lib/common/young-generation-tuner.js';
import {createSidecar, type Sidecar} from '../../src/lib/sidecar/sidecar.js';
import {parseSidecarSettings, type SidecarSettings} from '../../src/lib/sidecar/sidecar-settings.js';
import {createDescriptorSink, createLineLog, type LineLog} from '../../src/lib/timeline/line-log.js';

const exitCodes = {badSettings: 2, cannotListen: 3, uncaughtException: 5} as const;

/** Comment lines of the settings file. */
const commentLines = /^#.*$/gm;

/** Time to write the log line of an uncaught exception before the process exits. */
const faultLogTimeoutMs = 200;

function readSettings(file: string): Result<SidecarSettings, string> {
	let text: string;
	try {
		text = readFileSync(file, 'utf8');
	} catch (error) {
		return err((error as Error).message);
	}

	try {
		// The settings template generates YAML that is JSON except for the comments, so no YAML library is needed.
		return parseSidecarSettings(JSON.parse(text.replaceAll(commentLines, '')));
	} catch (error) {
		return err(`settings: ${(error as Error).message}`);
	}
}

/** Interval between checks of the settings file, which may change without a signal. */
const settingsPollMs = 2000;

/** Applies a changed settings file. An invalid one is logged and not applied. */
function applySettingsFile(sidecar: Sidecar, log: LineLog, file: string): void {
	readSettings(file).match(
		settings => {
			const restartOnly = sidecar.applySettings(settings);
			log.record('info', {
				kind: 'settings-reloaded', outcome: 'in force', ...restartOnly.length > 0 ? {reason: `these settings take effect only after a restart: ${restartOnly.join(', ')}`} : {},
			});
		},
		problem => {
			log.record('error', {kind: 'settings-reloaded', outcome: 'refused: the settings in force stay', reason: `${file}: ${problem}`});
		},
	);
}

function readModifiedMs(file: string): number {
	return statSync(file, {throwIfNoEntry: false})?.mtimeMs ?? 0;
}

function watchSettings(sidecar: Sidecar, log: LineLog, file: string): void {
	let modifiedMs = readModifiedMs(file);
	const reloadSettings = (): void => {
		modifiedMs = readModifiedMs(file);
		applySettingsFile(sidecar, log, file);
	};

	process.on('SIGHUP', reloadSettings);
	const timer = setInterval(() => {
		if (readModifiedMs(file) !== modifiedMs) {
			reloadSettings();
		}
	}, settingsPollMs);
	timer.unref();
}

function stopOnSignals(sidecar: Sidecar, log: LineLog): void {
	let isStopping = false;
	const stop = async (): Promise<void> => {
		if (isStopping) {
			return;
		}

		isStopping = true;
		await sidecar.drain();
		await log.flush();
		process.exit(0);
	};

	process.on('SIGTERM', () => {
		void stop();
	});
	process.on('SIGINT', () => {
		void stop();
	});
}

async function run(): Promise<void> {
	const file = process.argv[2] ?? '';
	const settings = readSettings(file);
	if (settings.isErr()) {
		process.stderr.write(`${file}: ${settings.error}\n`);
		process.exitCode = exitCodes.badSettings;
		return;
	}

	const log = createLineLog(settings.value.node, 'info', createDescriptorSink(1));
	process.on('uncaughtException', error => {
		log.record('error', {kind: 'node-failed', reason: error.stack ?? error.message});
		setTimeout(() => {
			process.exit(exitCodes.uncaughtException);
		}, faultLogTimeoutMs);
	});
	const platform = createPlatform(settings.value.storeAddress);
	const sidecar = createSidecar(settings.value, {
		...platform, log, random: Math.random, applyGrowthFactor,
	});
	stopOnSignals(sidecar, log);
	watchSettings(sidecar, log, file);
	try {
		await sidecar.start();
	} catch (error) {
		process.stderr.write(`${file}: ${(error as Error).message}\n`);
		process.exit(exitCodes.cannotListen);
	}
}

// The deployed bundle is CommonJS, which takes less processor time to start and does not support top-level `await`.
// eslint-disable-next-line unicorn/prefer-top-level-await
void run();
