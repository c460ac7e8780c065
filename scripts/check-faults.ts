/**
 * Checks that each fault of `faults.ts` can be planted: its compiled file contains the
 * line to replace. Otherwise `npm run prove` would no longer show that a test notices it.
 *
 * @module
 */
import {readFileSync} from 'node:fs';
import process from 'node:process';
import {faults, type Fault} from './faults.js';

const buildFolder = 'dist';

const mayPlant = ({file, from}: Fault): boolean => readFileSync(`${buildFolder}/${file}`, 'utf8').includes(from);

const lost = faults.filter(fault => !mayPlant(fault));
for (const {promise, file} of lost) {
	process.stdout.write(`scripts/faults.ts: ${file} does not contain the line to replace of "${promise}"; correct the entry\n`);
}

process.exitCode = lost.length === 0 ? 0 : 1;
