import assert from 'node:assert/strict';
import test from 'node:test';
import {toAddress} from '../common/ids.js';
import {createSampleReport} from '../peers/sample-report.js';
import {createNewerConfigFetcher} from './newer-config.js';

type Fixture = {
	readonly fetch: ReturnType<typeof createNewerConfigFetcher>;
	readonly asked: string[];
	readonly adopted: string[];
	version: number;
};

function createFixture(isStoreReachable: boolean, answer: string | undefined | Error): Fixture {
	const fixture: Fixture = {
		version: 7,
		asked: [],
		adopted: [],
		fetch: createNewerConfigFetcher({
			getVersion: () => fixture.version,
			isStoreReachable: () => isStoreReachable,
			async fetchConfig(gate) {
				fixture.asked.push(gate);
				if (answer instanceof Error) {
					throw answer;
				}

				return answer;
			},
			adoptText(text, source) {
				fixture.adopted.push(`${source}: ${text}`);
			},
		}),
	};
	return fixture;
}

const newer = createSampleReport({version: 9, gate: toAddress('10.0.0.2:1')});

test('a node that the store turns away takes a newer configuration from whoever has it', async () => {
	const fixture = createFixture(false, 'text');
	await fixture.fetch(createSampleReport({version: 7}));
	await fixture.fetch(newer);
	assert.deepEqual(fixture.asked, ['10.0.0.2:1']);
	assert.deepEqual(fixture.adopted, [`${newer.node}: text`]);
});

test('a node whose own watch brings it meanwhile asks nobody', async () => {
	const fixture = createFixture(true, 'text');
	const fetched = fixture.fetch(newer);
	fixture.version = 9;
	await fetched;
	assert.deepEqual(fixture.asked, []);
});

test('a node that hands over nothing, or fails, does not keep others from being asked', async () => {
	const silent = createFixture(false, undefined);
	await silent.fetch(newer);
	await silent.fetch(newer);
	assert.equal(silent.asked.length, 2);
	assert.deepEqual(silent.adopted, []);
	const failing = createFixture(false, new Error('x'));
	await assert.rejects(failing.fetch(newer));
	await assert.rejects(failing.fetch(newer));
	assert.equal(failing.asked.length, 2);
});
