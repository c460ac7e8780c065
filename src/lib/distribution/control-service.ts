/**
 * Answers other nodes on the control port.
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
import {createImageLimit, type ImageLimit} from './image-limit.js';
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
	readonly status: StatusCollector;
	readonly clock: LamportClock;
	readonly timeline: Timeline;
	readonly meter: ByteMeter;
	readonly random: () => number;
	/** Whether this node serves, so that its word on the version in force counts. */
	readonly isReady: () => boolean;
};

/** Nodes that a joiner is pointed to, so that a herd does not fetch its whole state from the few seeds. */
const helperCount = 8;

/** A directory answer with more records than this counts as whole state. */
const largeRecordCount = 500;

type Events = {readonly eventTime: bigint};

function requireImage(images: ImageLimit): void {
	if (!images.take()) {
		throw new ConnectError('this node is sending its whole state to others; ask another one', Code.ResourceExhausted);
	}
}

function createPullHandler(context: ControlServiceContext, images: ImageLimit): (request: PullConfigurationRequest) => Record<string, unknown> {
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

		requireImage(images);
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
	const {configuration, directory, distributor, reported, status, clock, timeline} = context;
	const witness = ({eventTime}: Events): void => {
		clock.witness(Number(eventTime));
	};

	const getTime = (): bigint => BigInt(clock.getTime());
	const images = createImageLimit();
	const handlePull = createPullHandler(context, images);

	return router => {
		router.service(NodeControl, {
			pushDeltas(request) {
				witness(request);
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
				witness(request);
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
				witness(request);
				const records = directory.listDifferingRecords(request.bucketDigests);
				if (records.length > largeRecordCount) {
					requireImage(images);
				}

				return {eventTime: getTime(), records: records.map(record => encodeRecord(record))};
			},
			join(request) {
				witness(request);
				const joiner = request.record === undefined ? undefined : decodeRecord(request.record).unwrapOr(undefined);
				if (joiner === undefined) {
					throw new ConnectError('a join needs the record of the node that joins', Code.InvalidArgument);
				}

				const floor = reported.get(joiner.id);
				directory.merge([joiner], {type: 'own'});
				return {
					eventTime: getTime(),
					version: configuration.getConfiguration().version,
					floor,
					ready: context.isReady(),
					members: listDomainRecords(directory.getDirectory(), joiner.failureDomain).map(record => encodeRecord(record)),
					helpers: listHelpers(context, joiner.id).map(record => encodeRecord(record)),
				};
			},
			async fleetStatus(request) {
				witness(request);
				const summaries = await status.getFleet(request.from === '');
				return {eventTime: getTime(), summaries: summaries.map(summary => encodeSummary(summary))};
			},
		});
	};
}

/** The control port, once it listens. @internal */
export type ControlServer = {
	readonly listen: (host: string, port: number) => Promise<number>;
	readonly dispose: () => Promise<void>;
};

/**
 * Creates the server of the control port.
 *
 * @param context - What its answers come from.
 * @returns The server, not listening yet.
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
