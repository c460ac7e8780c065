/**
 * Serves the control port, on which other nodes call this node.
 *
 * @module
 */
import {createServer, type Http2Server, type ServerHttp2Session} from 'node:http2';
import {type Socket} from 'node:net';
import {Code, ConnectError, type ConnectRouter} from '@connectrpc/connect';
import {connectNodeAdapter} from '@connectrpc/connect-node';
import {type ByteMeter} from '../common/byte-meter.js';
import {findDifferingBuckets} from '../common/digest-tree.js';
import {toAddress, toNodeId, type NodeId} from '../common/ids.js';
import {shuffleList} from '../common/shuffle-list.js';
import {type DirectoryKeeper} from '../directory/directory-keeper.js';
import {listDomainRecords, listRecords} from '../directory/directory.js';
import {type NodeRecord} from '../directory/node-record.js';
import {NodeControl, type PullConfigurationRequest} from '../generated/stonemoor/v1/node_pb.js';
import {type LamportClock} from '../timeline/lamport-clock.js';
import {type Timeline} from '../timeline/timeline.js';
import {type ConfigurationKeeper} from './configuration-keeper.js';
import {type Distributor} from './distributor.js';
import {createFullStateLimit, type FullStateLimit} from './full-state-limit.js';
import {type ReportedDrains} from './reported-drains.js';
import {type ReportedVersions} from './reported-versions.js';
import {type StatusCollector} from './status-collector.js';
import {
	decodeDeltas, decodeRecord, decodeRecords, encodeBucket, encodeDelta, encodeRecord, encodeSummary,
} from './wire.js';

/** @internal */
export type ControlServiceContext = {
	readonly configuration: ConfigurationKeeper;
	readonly directory: DirectoryKeeper;
	readonly distributor: Distributor;
	readonly reported: ReportedVersions;
	readonly reportedDrains: ReportedDrains;
	readonly status: StatusCollector;
	readonly clock: LamportClock;
	readonly timeline: Timeline;
	readonly meter: ByteMeter;
	readonly random: () => number;
	/** Returns whether this node serves requests. A joining node trusts only the versions that ready nodes report. */
	readonly isReady: () => boolean;
};

/** Number of nodes that a joining node is referred to for the full state, so that many joining nodes do not all fetch it from the few seeds. */
const helperCount = 8;

/** A directory response with more records than this counts as full state. */
const fullStateRecordCount = 500;

type EventTimed = {readonly eventTime: bigint};

function requireFullStateToken(fullStateLimit: FullStateLimit): void {
	if (!fullStateLimit.tryAcquire()) {
		throw new ConnectError('this node has reached its rate limit for full-state replies; ask another node', Code.ResourceExhausted);
	}
}

function createPullHandler(context: ControlServiceContext, fullStateLimit: FullStateLimit): (request: PullConfigurationRequest) => Record<string, unknown> {
	const {configuration, clock} = context;

	return request => {
		clock.witness(Number(request.eventTime));
		const current = configuration.getConfiguration();
		const base = {
			eventTime: BigInt(clock.getTime()), version: current.version, digest: current.digest, parentDigest: current.parentDigest,
		};
		if (request.version >= current.version) {
			return base;
		}

		const deltas = configuration.listDeltasAfter(request.version);
		if (deltas?.[0]?.parentDigest === request.digest) {
			return {...base, deltas: deltas.map(delta => encodeDelta(delta))};
		}

		if (request.bucketDigests.length === 0) {
			return {...base, needsBucketDigests: true};
		}

		requireFullStateToken(fullStateLimit);
		const buckets = findDifferingBuckets(current.tree, request.bucketDigests).map(index =>
			encodeBucket(index, [...current.tree.buckets[index]?.entries.values() ?? []].map(entry => entry.value)));
		return {...base, buckets, submissions: current.submissions.map(submission => ({...submission}))};
	};
}

function listHelpers({directory, random}: ControlServiceContext, joiner: NodeId): readonly NodeRecord[] {
	const alive = listRecords(directory.getDirectory()).filter(record => record.status === 'alive' && record.id !== joiner);
	return shuffleList(alive, random).slice(0, helperCount);
}

function createRoutes(context: ControlServiceContext): (router: ConnectRouter) => void {
	const {configuration, directory, distributor, reported, reportedDrains, status, clock, timeline} = context;
	const updateClock = ({eventTime}: EventTimed): void => {
		clock.witness(Number(eventTime));
	};

	const getTime = (): bigint => BigInt(clock.getTime());
	const fullStateLimit = createFullStateLimit();
	const handlePull = createPullHandler(context, fullStateLimit);

	return router => {
		router.service(NodeControl, {
			pushDeltas(request) {
				updateClock(request);
				const applied = decodeDeltas(request.deltas).andThen(deltas => configuration.applyDeltas(deltas, request.from));
				if (applied.isErr() && applied.error.type !== 'gap') {
					timeline.record({
						kind: 'configuration-refused', version: request.version, reason: applied.error.type, from: request.from,
					});
				}

				if (request.version > configuration.getConfiguration().version) {
					void distributor.pullConfiguration(toAddress(request.controlAddress), request.from);
				}

				return {eventTime: getTime(), version: configuration.getConfiguration().version};
			},
			pullConfiguration: request => handlePull(request),
			pushRecords(request) {
				updateClock(request);
				decodeRecords(request.records).match(
					records => {
						directory.merge(records, {type: 'push', from: toNodeId(request.from)});
					},
					error => {
						throw new ConnectError(error.reason, Code.InvalidArgument);
					},
				);
				return {eventTime: getTime()};
			},
			pullDirectory(request) {
				updateClock(request);
				const records = directory.listDifferingRecords(request.bucketDigests);
				if (records.length > fullStateRecordCount) {
					requireFullStateToken(fullStateLimit);
				}

				return {eventTime: getTime(), records: records.map(record => encodeRecord(record))};
			},
			join(request) {
				updateClock(request);
				const joiner = request.record === undefined ? undefined : decodeRecord(request.record).unwrapOr(undefined);
				if (joiner === undefined) {
					throw new ConnectError('the join request lacks a valid record of the joining node', Code.InvalidArgument);
				}

				const floor = reported.get(joiner.id);
				const leavingServers = [...reportedDrains.get(joiner.id)];
				directory.merge([joiner], {type: 'own'});
				return {
					eventTime: getTime(),
					version: configuration.getConfiguration().version,
					floor,
					leavingServers,
					ready: context.isReady(),
					members: listDomainRecords(directory.getDirectory(), joiner.failureDomain).map(record => encodeRecord(record)),
					helpers: listHelpers(context, joiner.id).map(record => encodeRecord(record)),
				};
			},
			async fleetStatus(request) {
				updateClock(request);
				const summaries = await status.getFleetSummaries(request.from === '');
				return {eventTime: getTime(), summaries: summaries.map(summary => encodeSummary(summary))};
			},
		});
	};
}

/** The server of the control port. @internal */
export type ControlServer = {
	readonly listen: (host: string, port: number) => Promise<number>;
	readonly dispose: () => Promise<void>;
};

/**
 * Creates the server of the control port.
 *
 * @param context - The state that the server reads and updates.
 * @returns The server. It does not listen yet.
 * @internal
 */
export function createControlServer(context: ControlServiceContext): ControlServer {
	const server: Http2Server = createServer({}, connectNodeAdapter({routes: createRoutes(context)}));
	const sessions = new Set<ServerHttp2Session>();
	server.on('connection', (socket: Socket) => {
		socket.setNoDelay(true);
		context.meter.watchSocket(socket);
	});
	server.on('session', session => {
		sessions.add(session);
		session.once('close', () => {
			sessions.delete(session);
		});
	});

	return {
		listen: async (host, port) => new Promise((resolve, reject) => {
			server.once('error', reject);
			server.listen(port, host, () => {
				const address = server.address();
				resolve(typeof address === 'object' && address !== null ? address.port : port);
			});
		}),
		async dispose() {
			await new Promise<void>(resolve => {
				server.close(() => {
					resolve();
				});
				for (const session of sessions) {
					session.destroy();
				}
			});
		},
	};
}
