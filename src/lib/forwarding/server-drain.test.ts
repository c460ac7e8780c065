import assert from 'node:assert/strict';
import test, {type TestContext} from 'node:test';
import {createServerDrain, type AwaitedBody, type ServerDrain} from './server-drain.js';

const drainMs = 2500;

type Fixture = {readonly drain: ServerDrain; readonly advance: (milliseconds: number) => void};

function createFixture(context: TestContext): Fixture {
	let now = 1000;
	context.mock.method(performance, 'now', () => now);
	return {
		drain: createServerDrain(drainMs),
		advance(milliseconds) {
			now += milliseconds;
		},
	};
}

type Arrival = {readonly awaited: Promise<AwaitedBody>; readonly finish: () => void};

function startUpload(drain: ServerDrain, bodyMs: number): Arrival {
	let finish = (): void => undefined;
	const body = new Promise<Uint8Array>(resolve => {
		finish = () => {
			resolve(new Uint8Array(1));
		};
	});
	return {
		awaited: drain.waitForBody(async () => body, bodyMs),
		finish() {
			finish();
		},
	};
}

test('a body that cannot arrive in time is given up when the drain begins', async context => {
	const {drain} = createFixture(context);
	const late = startUpload(drain, 3000);
	const inTime = startUpload(drain, 1500);
	drain.start();
	assert.equal(await late.awaited, 'draining');
	inTime.finish();
	assert.ok(await inTime.awaited instanceof Uint8Array);
	assert.equal(await startUpload(drain, 3000).awaited, 'draining');
});

// Guards against a body that takes longer than its sender expected.
test('a body that arrives later than expected is refused if it is too late for the server', async context => {
	const {drain, advance} = createFixture(context);
	const upload = startUpload(drain, 1000);
	drain.start();
	assert.equal(drain.isOver(), false);
	advance(2400);
	assert.equal(drain.isOver(), true);
	upload.finish();
	assert.equal(await upload.awaited, 'draining');
});

test('a drain counts from its first start, and a body that fails to arrive rejects', async context => {
	const {drain, advance} = createFixture(context);
	assert.equal(drain.getElapsedMs(), undefined);
	drain.start();
	advance(1900);
	drain.start();
	assert.equal(drain.getElapsedMs(), 1900);
	advance(200);
	assert.equal(drain.isOver(), true);
	const other = createServerDrain(drainMs);
	await assert.rejects(other.waitForBody(async () => {
		throw new Error('cut');
	}, 10), /cut/);
});
