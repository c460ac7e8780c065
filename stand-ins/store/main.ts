#!/usr/bin/env node
/**
 * Runs the stand-in for the platform's key-value store as a process.
 *
 * @module
 */
import process from 'node:process';
import yargs from 'yargs';
import {hideBin} from 'yargs/helpers';
import {startStoreServer} from './store-server.js';

const {host, port} = await yargs(hideBin(process.argv))
	.usage('$0 [--host IP] [--port PORT]')
	.option('host', {type: 'string', default: '127.0.0.1', describe: 'IP address to listen on'})
	.option('port', {type: 'number', default: 7900, describe: 'port to listen on; 0 for any free port'})
	.strict()
	.parseAsync();

const server = await startStoreServer(host, port);
process.stdout.write(`store stand-in listens on ${server.address}\n`);
process.on('SIGTERM', async () => {
	await server.dispose();
});
