import assert from 'node:assert/strict';
import test from 'node:test';
import {toAddress, toBackendServerId} from '../common/ids.js';
import {checkService} from './check-service.js';
import {type ServerAnnouncement} from './local-server.js';

const announcement: ServerAnnouncement = {
	lifetime: {id: toBackendServerId('i-1'), startedAt: 1}, service: 'hall', version: 'v1', address: toAddress('10.0.0.1:80'), slots: 4, isDraining: false, coldMs: 0, sequence: 1,
};

test('an announcement of any service other than that of the settings is refused', () => {
	assert.equal(checkService(announcement, 'hall')._unsafeUnwrap(), announcement);
	assert.deepEqual(checkService(announcement, 'logview')._unsafeUnwrapErr(), {
		cause: 'service', text: 'info.service: found "hall", must be "logview", the service of this node\'s settings',
	});
});
