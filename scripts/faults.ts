/**
 * What each promise rests on, and how to take it away: the faults that
 * `npm run prove` plants one at a time.
 *
 * @module
 */

/** One footing of a promise, taken away. */
export type Fault = {
	readonly promise: string;
	/** A compiled file, below the build folder. */
	readonly file: string;
	readonly from: string;
	readonly to: string;
	/** The tests that must notice, below the build folder. */
	readonly tests: string;
};

const library = 'src/lib';

/** Every fault that a test has to notice. */
export const faults: readonly Fault[] = [
	{
		promise: 'a lower version is never taken over',
		file: `${library}/distribution/configuration-keeper.js`,
		from: 'if (next.version <= configuration.version) {',
		to: 'if (false) {',
		tests: `${library}/distribution`,
	},
	{
		promise: 'a step is applied only with the digest that it names',
		file: `${library}/configuration/configuration.js`,
		from: 'if (next.digest !== delta.digest) {',
		to: 'if (false) {',
		tests: `${library}/configuration`,
	},
	{
		promise: 'a step is applied only to its own parent',
		file: `${library}/configuration/configuration.js`,
		from: 'if (delta.parentDigest !== configuration.digest) {',
		to: 'if (false) {',
		tests: `${library}/configuration`,
	},
	{
		promise: 'an image is applied only with the digest that it names',
		file: `${library}/configuration/configuration.js`,
		from: 'if (computeChainDigest(image.version, image.parentDigest, tree.root) !== image.digest) {',
		to: 'if (false) {',
		tests: `${library}/distribution`,
	},
	{
		promise: 'no route points at what the version lacks',
		file: `${library}/configuration/evaluate-submission.js`,
		from: 'return problems.length === 0 ?',
		to: 'return true ?',
		tests: `${library}/distribution`,
	},
	{
		promise: 'a lost answer is settled by the submission\'s id',
		file: `${library}/configuration/evaluate-submission.js`,
		from: 'if (known !== undefined) {',
		to: 'if (false) {',
		tests: `${library}/distribution`,
	},
	{
		promise: 'an older base revision is a conflict',
		file: `${library}/configuration/evaluate-submission.js`,
		from: 'if (conflicts.length > 0) {',
		to: 'if (false) {',
		tests: `${library}/distribution`,
	},
	{
		promise: 'a doubtful write is told as unknown',
		file: `${library}/distribution/accept-submissions.js`,
		from: 'isInDoubt: true',
		to: 'isInDoubt: false',
		tests: `${library}/distribution`,
	},
	{
		promise: 'a store that came back older is refused',
		file: `${library}/distribution/read-head.js`,
		from: 'if (storeVersion < configuration.version) {',
		to: 'if (false) {',
		tests: `${library}/distribution`,
	},
	{
		promise: 'a node serves only what is not older than it had',
		file: `${library}/membership/joiner.js`,
		from: 'isHelped && configuration.getConfiguration().version >= configuration.getFloor()',
		to: 'true',
		tests: `${library}/membership`,
	},
	{
		promise: 'what may have run and may not be repeated is not sent again',
		file: `${library}/calls/run-attempts.js`,
		from: 'verdict === \'not-run\' || decision.isRepeatable',
		to: 'true',
		tests: 'scenarios',
	},
	{
		promise: 'a lost connection may have run the request',
		file: `${library}/calls/attempt.js`,
		from: 'return createFailure(\'may-have-run\', \'connection-lost\'',
		to: 'return createFailure(\'not-run\', \'connection-lost\'',
		tests: 'scenarios',
	},
	{
		promise: 'an idempotency key lets one request through',
		file: `${library}/calls/once-fence.js`,
		from: 'if (record !== undefined && record.state !== \'released\') {',
		to: 'if (false) {',
		tests: `${library}/calls`,
	},
	{
		promise: 'a draining gate takes no new work',
		file: `${library}/admission/gate.js`,
		from: 'if (isDraining) {',
		to: 'if (false) {',
		tests: `${library}/admission`,
	},
	{
		promise: 'slots are exact',
		file: `${library}/admission/gate-state.js`,
		from: 'if (total >= state.slots) {',
		to: 'if (total > state.slots) {',
		tests: `${library}/admission`,
	},
	{
		promise: 'a shut down cuts off nothing in flight',
		file: `${library}/drain/drain-node.js`,
		from: 'while (countCalls() > 0',
		to: 'while (false',
		tests: `${library}/drain`,
	},
	{
		promise: 'records merge in any order',
		file: `${library}/directory/node-record.js`,
		from: 'return nodeStatuses.indexOf(left.status) - nodeStatuses.indexOf(right.status);',
		to: 'return 1;',
		tests: `${library}/directory`,
	},
	{
		promise: 'sidecar: what may have run and may not be repeated is not sent again',
		file: `${library}/forwarding/send-call.js`,
		from: 'mayRepeat || progress.verdict === \'not-run\'',
		to: 'true',
		tests: `${library}/forwarding`,
	},
	{
		promise: 'sidecar: only what has not run is told so',
		file: `${library}/forwarding/send-call.js`,
		from: 'if (verdict === \'not-run\') {',
		to: 'if (true) {',
		tests: `${library}/forwarding`,
	},
	{
		promise: 'sidecar: what reaches a second server stays within the allowance',
		file: `${library}/decisions/retry-allowance.js`,
		from: 'if (countLeft(service, reason, now) <= 0) {',
		to: 'if (false) {',
		tests: `${library}/decisions`,
	},
	{
		promise: 'sidecar: a gate whose server leaves takes no new work',
		file: `${library}/forwarding/local-gate.js`,
		from: 'if (current.isLeaving || context.isLeaving()) {',
		to: 'if (false) {',
		tests: `${library}/forwarding`,
	},
	{
		promise: 'sidecar: an answer to another request is not handed on',
		file: `${library}/forwarding/local-gate.js`,
		from: 'return id === call.id ||',
		to: 'return true ||',
		tests: 'platform',
	},
	{
		promise: 'sidecar: the server that is meant is named',
		file: `${library}/forwarding/local-gate.js`,
		from: '[wire.expectedServer]: announcement.id,',
		to: '',
		tests: 'platform',
	},
	{
		promise: 'sidecar: the service of the caller cannot be forged',
		file: `${library}/forwarding/local-gate.js`,
		from: '[wire.callerService]: call.callerService,',
		to: '',
		tests: 'platform',
	},
	{
		promise: 'sidecar: an answer that was cut is not whole',
		file: `${library}/forwarding/exchange.js`,
		from: 'const answer = isOrderly ? reader.end() : undefined;',
		to: 'const answer = reader.end();',
		tests: 'platform',
	},
	{
		promise: 'sidecar: a caller that leaves takes its work with it',
		file: `${library}/forwarding/gate-server.js`,
		from: 'connection.incoming.get(frame.id)?.scope.end(\'cancelled\');',
		to: '',
		tests: 'platform',
	},
	{
		promise: 'sidecar: a lower version is refused',
		file: `${library}/sync/config-follower.js`,
		from: 'if (isOlder) {',
		to: 'if (false) {',
		tests: 'platform',
	},
	{
		promise: 'sidecar: a late announcement changes nothing',
		file: `${library}/local-server/local-server.js`,
		from: 'if (announcement.sequence <= current.announcement.sequence) {',
		to: 'if (false) {',
		tests: `${library}/local-server`,
	},
	{
		promise: 'sidecar: a server that left is not taken back',
		file: `${library}/local-server/local-server.js`,
		from: 'if (state.goneIds.includes(announcement.id)) {',
		to: 'if (false) {',
		tests: `${library}/local-server`,
	},
	{
		promise: 'sidecar: a late heartbeat changes nothing',
		file: `${library}/peers/peer-table.js`,
		from: 'if (isOutdated(known, report)) {',
		to: 'if (false) {',
		tests: `${library}/peers`,
	},
	{
		promise: 'sidecar: a silent connection to a node that is heard is given up',
		file: `${library}/forwarding/peer-channel.js`,
		from: 'if (livedAt !== undefined && now - livedAt > pongMs) {',
		to: 'if (false) {',
		tests: `${library}/forwarding`,
	},
	{
		promise: 'sidecar: a connection to a node that stands still is kept',
		file: `${library}/forwarding/peer-channel.js`,
		from: '(getHeardAt() ?? 0) > pingedAt ? now : undefined',
		to: 'now',
		tests: `${library}/forwarding`,
	},
	{
		promise: 'sidecar: bytes behind an answer belong to no request',
		file: `${library}/forwarding/exchange.js`,
		from: 'if (isKept && !reader.hasExtra()) {',
		to: 'if (isKept) {',
		tests: `${library}/forwarding`,
	},
	{
		promise: 'sidecar: an answer whose length can be read in two ways is refused',
		file: `${library}/forwarding/answer-reader.js`,
		from: '|| length !== undefined) {',
		to: ') {',
		tests: `${library}/forwarding`,
	},
	{
		promise: 'sidecar: a server is found when most of a large service are gone',
		file: `${library}/sidecar/list-candidates.js`,
		from: 'if (drawn.length > 0) {',
		to: 'if (true) {',
		tests: `${library}/sidecar`,
	},
	{
		promise: 'sidecar: a changed rule of a configuration comes into force',
		file: 'platform/decode-config.js',
		from: 'JSON.stringify(value)',
		to: 'value.name',
		tests: 'platform',
	},
	{
		promise: 'sidecar: slots are exact',
		file: `${library}/decisions/slot-queue.js`,
		from: 'if (queue.running < queue.slots && isNext) {',
		to: 'if (isNext) {',
		tests: `${library}/decisions`,
	},
	{
		promise: 'sidecar: a call waits only while its answer can be in time',
		file: `${library}/decisions/plan-attempt.js`,
		from: 'if (inTimeMs <= 0) {',
		to: 'if (false) {',
		tests: `${library}/decisions`,
	},
	{
		promise: 'sidecar: a call with too little time left for an answer is refused at once',
		file: `${library}/decisions/plan-attempt.js`,
		from: 'return { type: \'too-late\' };',
		to: '',
		tests: `${library}/decisions`,
	},
	{
		promise: 'sidecar: callers are connected while the process is busy',
		file: `${library}/common/work-turns.js`,
		from: 'if (begun < begunPerTurn && waiting.length === 0) {',
		to: 'if (true) {',
		tests: `${library}/common`,
	},
	{
		promise: 'sidecar: lag is seen within a turn of the loop',
		file: `${library}/common/loop-lag.js`,
		from: 'estimateUnreadMs() <= laggingMs',
		to: 'true',
		tests: `${library}/common`,
	},
	{
		promise: 'sidecar: a route of an unknown type costs no other route anything',
		file: 'platform/decode-config.js',
		from: 'warn(error, remedy);',
		to: 'throw error;',
		tests: 'platform',
	},
	{
		promise: 'sidecar: connections to a server that are silent cost one request',
		file: `${library}/forwarding/local-gate.js`,
		from: 'if (connections.areDoubtful(',
		to: 'if (false && connections.areDoubtful(',
		tests: `${library}/forwarding`,
	},
	{
		promise: 'sidecar: large answers leave over a slow link a few at a time',
		file: `${library}/forwarding/large-answers.js`,
		from: 'while (onTheirWay < places) {',
		to: 'while (true) {',
		tests: `${library}/forwarding`,
	},
	{
		promise: 'sidecar: a node that shuts down ends what is in work',
		file: `${library}/sidecar/stop-in-order.js`,
		from: 'while (steps.countWork() > 0',
		to: 'while (false',
		tests: `${library}/sidecar`,
	},
	{
		promise: 'sidecar: a step that does not lead to what it was computed for is refused',
		file: `${library}/route-config/text-delta.js`,
		from: 'return computeTextDigest(newText) === digest ? newText : undefined;',
		to: 'return newText;',
		tests: `${library}/route-config`,
	},
	{
		promise: 'sidecar: a node that hears of no fresh watcher asks the store itself',
		file: `${library}/sync/relay-duty.js`,
		from: '|| (mayHelp && !isWatched)',
		to: '',
		tests: `${library}/sync`,
	},
	{
		promise: 'sidecar: a node that leaves a question unanswered counts as silent',
		file: `${library}/peers/peer-table.js`,
		from: '&& (probedAt === undefined || now - probedAt <= probeMs)',
		to: '',
		tests: `${library}/peers`,
	},
];
