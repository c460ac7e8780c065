import assert from 'node:assert/strict';
import test, {type TestContext} from 'node:test';
import {ok} from 'neverthrow';
import {type StoreCommit, type StoreItem} from '../store/mesh-store.js';
import {type Refusal, silentRefusalLog} from '../timeline/refusal-log.js';
import {createConfigCopy, configCopyKey, type ConfigCopy} from './config-copy.js';

const position = {era: 1, revision: 5};

/** The text of a configuration with many similar routes. */
const largeText = JSON.stringify(Array.from({length: 1200}, (_, index) => ({
	name: `r-${index}`, host: 'hall.example', prefix: `/clips${index}/`, services: ['hall'], timeout: '1200ms',
})));

type Fixture = {
	readonly copy: ConfigCopy;
	/** The value of the copy in the store. */
	getValue: () => string | undefined;
	setValue: (value: string) => void;
	readonly refused: readonly string[];
	readonly countCalls: () => number;
};

function createFixture(context: TestContext, linkMbps: number, isWriter = true): Fixture {
	context.mock.timers.enable({apis: ['setTimeout']});
	let item: StoreItem | undefined;
	let calls = 0;
	const refused: string[] = [];
	const setValue = (value: string): void => {
		item = {key: configCopyKey, value, revision: 1};
	};

	const copy = createConfigCopy({
		store: {
			async readItem() {
				calls++;
				return ok({items: item === undefined ? [] : [item], position});
			},
			async commit({writes}: StoreCommit) {
				calls++;
				setValue(writes[0]!.value);
				return ok(position);
			},
		},
		refusals: {
			...silentRefusalLog, record(refusal: Refusal) {
				refused.push(refusal.reason);
			},
		},
		linkMbps, isWriter: () => isWriter,
	});
	context.after(copy.dispose);
	return {
		copy, getValue: () => item?.value, setValue, refused, countCalls: () => calls,
	};
}

const flushPromises = async (): Promise<void> => new Promise(resolve => {
	setImmediate(resolve);
});

test('a start behind a slow link reads a large configuration from a copy of an eighth of its size', async context => {
	const {copy, getValue} = createFixture(context, 5);
	copy.updateSoon({text: largeText, position});
	context.mock.timers.tick(1000);
	await flushPromises();
	assert.ok(getValue()!.length < largeText.length / 6, `${getValue()!.length} of ${largeText.length}`);
	assert.deepEqual(await copy.read(), {text: largeText, position});
});

test('versions in quick succession are copied once, and a small configuration is not copied', async context => {
	const {copy, countCalls} = createFixture(context, 5);
	for (let version = 0; version < 10; version++) {
		copy.updateSoon({text: `${largeText} ${version}`, position});
		context.mock.timers.tick(200);
	}

	copy.updateSoon({text: 'small', position});
	context.mock.timers.tick(5000);
	await flushPromises();
	assert.equal(countCalls(), 0);
	copy.updateSoon({text: largeText, position});
	context.mock.timers.tick(5000);
	await flushPromises();
	assert.equal(countCalls(), 1);
});

test('a node that is not the writer writes nothing, and one behind a fast link does not read the copy', async context => {
	const {copy, countCalls} = createFixture(context, 1000, false);
	copy.updateSoon({text: largeText, position});
	context.mock.timers.tick(5000);
	await flushPromises();
	assert.equal(await copy.read(), undefined);
	assert.equal(countCalls(), 0);
});

test('a malformed copy is refused with its key, and the node reads the configuration itself', async context => {
	const {copy, setValue, refused} = createFixture(context, 5);
	for (const value of ['', '{}', '[1, 2]', '[1, 2, "AAAA"]', '[-1, 2, "AAAA"]', '\uFFFD']) {
		setValue(value);
		assert.equal(await copy.read(), undefined, value);
	}

	assert.equal(refused.length, 6);
});
