#!/usr/bin/env node
/**
 * Runs the stand-in for a backend server as a process.
 *
 * @module
 */
import {tmpdir} from 'node:os';
import process from 'node:process';
import yargs from 'yargs';
import {hideBin} from 'yargs/helpers';
import {startBackendServer} from './backend-server.js';

const options = await yargs(hideBin(process.argv))
	.usage('$0 --id ID --service NAME [--announcements IP:PORT]')
	.option('id', {type: 'string', demandOption: true, describe: 'id, unique in the fleet'})
	.option('service', {type: 'string', demandOption: true, describe: 'service that it belongs to'})
	.option('host', {type: 'string', default: '127.0.0.1'})
	.option('port', {type: 'number', default: 0})
	.option('slots', {type: 'number', default: 12})
	.option('connections', {type: 'number', default: 130})
	.option('announcements', {type: 'string', describe: 'address at which the node beside it accepts announcements'})
	.option('bundle-directory', {type: 'string', default: tmpdir()})
	.strict()
	.parseAsync();

const server = await startBackendServer({...options, bundleDirectory: options['bundle-directory']});
process.stdout.write(`backend server stand-in ${options.id} listens on ${server.address}\n`);
process.on('SIGTERM', async () => {
	await server.drain();
});
