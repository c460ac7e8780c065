/**
 * Sample orders, records and servers for tests.
 *
 * @module
 */
import {toBackendServerId} from '../common/ids.js';
import {unknownStart} from '../common/server-lifetime.js';
import {type ServerReport} from '../peers/peer-report.js';
import {createRecord, type RolloutOrder, type RolloutRecord} from './rollout-record.js';

/** An order to replace the version of the service `hall` by `v2` within ten seconds. @internal */
export const sampleOrder: RolloutOrder = {
	service: 'hall', targetVersion: 'v2', position: {era: 0, revision: 7}, durationMs: 10_000,
};

/**
 * @param changes - Fields that differ from a record that was just created.
 * @returns The record of the sample order.
 * @internal
 */
export function createSampleRecord(changes: Partial<RolloutRecord> = {}): RolloutRecord {
	return {...createRecord(sampleOrder), ...changes};
}

/**
 * @param id - Id of the server.
 * @param version - Its version.
 * @param changes - Other fields that differ from an idle server of the service `hall` with six slots.
 * @returns The server.
 * @internal
 */
export function createSampleServer(id: string, version: string, changes: Partial<ServerReport> = {}): ServerReport {
	return {
		lifetime: {id: toBackendServerId(id), startedAt: unknownStart}, service: 'hall', version, slots: 6, state: 'ready',
		coldMs: 0, running: 0, waiting: 0, serviceMs: 100, failureShare: 0, ...changes,
	};
}
