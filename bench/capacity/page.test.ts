import assert from 'node:assert/strict';
import {readFileSync} from 'node:fs';
import test from 'node:test';
import {measurementsFile, pageFile} from './capacity.js';
import {type CapacityMeasurements} from './model.js';
import {replaceTables} from './page.js';

test('the tables of the capacity page match the stored measurements', () => {
	const measurements = JSON.parse(readFileSync(measurementsFile, 'utf8')) as CapacityMeasurements;
	const page = readFileSync(pageFile, 'utf8');
	assert.equal(replaceTables(page, measurements), page);
});
