import assert from 'node:assert/strict';
import test from 'node:test';
import {createLoadReports} from './load-reports.js';
import {type ServerLoadReport} from './server-load.js';

const createReport = (running: number, slowness?: number): ServerLoadReport => ({
	running, waiting: 0, slots: 6, slowness,
});

test('the latest report is known with its age, and dropped after two seconds', () => {
	const reports = createLoadReports();
	assert.equal(reports.getLatest(0), undefined);
	reports.record(createReport(3), 4, 1000);
	reports.record(createReport(5), 6, 1100);
	assert.deepEqual(reports.getLatest(1200), {report: createReport(5), ageMs: 100});
	assert.equal(reports.getLatest(3101), undefined);
});

// Guards against a server that looks idle while it works on requests of an earlier run of its gate, or on requests that were given up.
test('requests at the server beyond those of the gate count for 300 ms', () => {
	const reports = createLoadReports();
	reports.record(createReport(6), 2, 1000);
	assert.equal(reports.countUnknownRequests(1300), 4);
	assert.equal(reports.countUnknownRequests(1301), 0);
	reports.record(createReport(2), 6, 1000);
	assert.equal(reports.countUnknownRequests(1000), 0);
});

test('the slowness of a run is the average of those at its start and end, and 1 without reports', () => {
	const reports = createLoadReports();
	assert.equal(reports.startRun()(), 1);
	const first = reports.startRun();
	reports.record(createReport(1, 2), 1, 0);
	assert.equal(first(), 2);
	const second = reports.startRun();
	reports.record(createReport(1, 1), 1, 100);
	reports.record(createReport(1), 1, 200);
	assert.equal(second(), 1.5);
});
