/**
 * Loaded into a node process before its program: SIGUSR2 steps the time of day, and the next SIGUSR2 steps it back. Timers
 * are not affected, as with a step of the system's clock.
 *
 * @module
 */
import process from 'node:process';
import {clockStepVariable} from './clock-step-variable.js';

const readSystemTime = Date.now;
const stepMs = Number(process.env[clockStepVariable] ?? 0);
let offsetMs = 0;

Date.now = () => readSystemTime() + offsetMs;
process.on('SIGUSR2', () => {
	offsetMs = offsetMs === 0 ? stepMs : 0;
});
