/**
 * Creates a node, the process beside a backend server, from its components.
 *
 * @module
 */
import {createServer as createHttpServer} from 'node:http';
import process from 'node:process';
import {getRequestListener} from '@hono/node-server';
import {err, ok, type Result} from 'neverthrow';
import {createAnnouncementApi} from '../calls/announcement-api.js';
import {createCallMetrics} from '../calls/call-metrics.js';
import {advanceSnapshot, type RoutingSnapshot} from '../routing/routing-snapshot.js';
import {createEntryServer} from '../calls/entry-server.js';
import {createGateClient} from '../calls/gate-client.js';
import {createGateServer} from '../calls/gate-server.js';
import {createLocalServers} from '../calls/local-servers.js';
import {createRetryBudget} from '../calls/retry-budget.js';
import {parseAddress} from '../common/address.js';
import {readNow, waitFor} from '../common/clock.js';
import {createByteMeter} from '../common/byte-meter.js';
import {createSystemNetwork, type Network} from '../common/network.js';
import {createDirectoryKeeper} from '../directory/directory-keeper.js';
import {acceptSubmissions, findSubmissionVersion, type AcceptanceContext} from '../distribution/accept-submissions.js';
import {drainNode} from '../drain/drain-node.js';
import {createConfigurationKeeper, type ConfigurationChange} from '../distribution/configuration-keeper.js';
import {createControlServer} from '../distribution/control-service.js';
import {createDistributor} from '../distribution/distributor.js';
import {createOwnRecordPusher} from '../distribution/own-record-pusher.js';
import {createPeers} from '../distribution/peers.js';
import {createRelayWatch} from '../distribution/relay-watch.js';
import {createReportedDrains} from '../distribution/reported-drains.js';
import {createReportedVersions} from '../distribution/reported-versions.js';
import {createQuarantine} from '../quarantine/quarantine.js';
import {computeHeldLimits} from '../memory/memory-limits.js';
import {createMemoryLedger} from '../memory/memory-ledger.js';
import {handleInTurn} from '../memory/handle-in-turn.js';
import {type ClosedConnection} from '../memory/closed-connection.js';
import {republishHead} from '../distribution/republish.js';
import {createStatusCollector} from '../distribution/status-collector.js';
import {createSubmissionQueue} from '../distribution/submission-queue.js';
import {createGossip} from '../membership/gossip.js';
import {joinMesh, joinUnknownSeeds} from '../membership/join-mesh.js';
import {createMemberList} from '../membership/member-list.js';
import {createOperatorApi} from '../operators/operator-api.js';
import {type NodeStatusResponse} from '../operators/operator-messages.js';
import {createServerLoads} from '../routing/server-load.js';
import {type Settings} from '../settings/settings.js';
import {createBudgetedStore} from '../store/budgeted-store.js';
import {type Store} from '../store/store.js';
import {createLamportClock} from '../timeline/lamport-clock.js';
import {createTimeline} from '../timeline/timeline.js';
import {type TimelineEvent} from '../timeline/timeline-event.js';
import {createOwnRecord} from './own-record.js';
import {
	closeServer, listenOn, openPorts, type Port,
} from './ports.js';
import {type StartError} from './start-error.js';

/** Dependencies of a node. @public */
export type NodeOptions = {
	readonly store: Store;
	/** Returns random numbers from 0 (inclusive) to 1 (exclusive). */
	readonly random: () => number;
	/** Network to other nodes. Default: the network of the operating system. */
	readonly network?: Network;
	/** Called with each event of the timeline. */
	readonly handleEvent?: (event: TimelineEvent) => void;
};

/** A node of the mesh. @public */
export type Node = {
	/** Listens on all ports. The node then joins the mesh in the background. */
	readonly start: () => Promise<Result<void, StartError>>;
	/** Stops gracefully: rejects new calls, waits for those in flight, then leaves the mesh. Returns whether all calls ended in time. */
	readonly drain: () => Promise<boolean>;
	/** Stops immediately, without waiting for calls in flight. */
	readonly dispose: () => Promise<void>;
	readonly getStatus: () => NodeStatusResponse;
};

/** How long after its start a node keeps announcements of its servers waiting until it has joined. Without other nodes or the store, a node does not join. */
const maxJoinWaitMs = 900;

/** Interval at which the node checks whether it has to watch the store, and what its connections hold. */
const relayDutyCheckMs = 250;

/** Interval at which the loads of removed backend servers are deleted. It is long because each cleanup iterates over the whole directory. */
const loadCleanupMs = 30_000;

/**
 * Creates a node.
 *
 * @param settings - The settings of the node.
 * @param options - The dependencies of the node.
 * @returns The node, not started.
 * @public
 * @example
 * ```ts
 * const node = createNode(settings, {store: createHttpStore(settings.store), random: Math.random});
 * const started = await node.start();
 * ```
 */
export function createNode(settings: Settings, options: NodeOptions): Node {
	const {random} = options;
	const {node: self, failureDomain: domain} = settings;
	const clock = createLamportClock();
	const timeline = createTimeline(self, clock, options.handleEvent);
	const meter = createByteMeter();
	const network = options.network ?? createSystemNetwork();
	const peers = createPeers(meter, network);
	const store = createBudgetedStore(options.store, {perSecond: settings.store.callsPerSecond, burst: settings.store.burst});
	const reported = createReportedVersions();
	const reportedDrains = createReportedDrains();
	const joinAbort = new AbortController();
	/** Aborted when this node has joined, or ends. */
	const joined = new AbortController();
	const loads = createServerLoads();
	const metrics = createCallMetrics();
	const createdAt = readNow();
	let isReady = false;
	let isDraining = false;
	let snapshot: RoutingSnapshot | undefined;

	const handleConfiguration = (change: ConfigurationChange): void => {
		const {configuration: next, deltas, from} = change;
		// This assignment activates the version atomically. A call keeps the snapshot with which it started.
		snapshot = advanceSnapshot(snapshot, next, deltas);
		timeline.record({kind: 'configuration-applied', version: next.version, from});
		distributor.handleConfigurationChange(change);
	};

	const configuration = createConfigurationKeeper(handleConfiguration);
	const quarantine = createQuarantine({
		log: {
			record(_level, event) {
				if (event.kind === 'request-suspected' || event.kind === 'request-repeated' || event.kind === 'request-cleared') {
					timeline.record(event);
				}
			},
		},
		handleUrgentChange() {
			gossip.sendUrgentPings();
		},
		// Crashes and quarantined requests are not written to the store, which holds only the configuration and idempotency keys. Gossip sends the requests that crash backend servers to the other nodes.
		handleCrash: () => undefined,
		handleQuarantined: () => undefined,
	});
	const directory = createDirectoryKeeper(createOwnRecord(settings), (records, source) => {
		members.handleChange(records);
		gossip.handleRecords(records);
		for (const record of records) {
			if (record.failureDomain === domain && record.id !== self && source.type === 'own') {
				timeline.record({kind: 'member-status', member: record.id, status: record.status});
			}
		}

		distributor.handleRecords(records, source);
		for (const record of records) {
			reportedDrains.record(record);
		}
	});
	const members = createMemberList(directory.getDirectory);
	const distributor = createDistributor({
		settings: settings.distribution, self, domain, controlAddress: settings.listen.control, configuration, directory, members, peers, clock, timeline,
	});
	const pushOwnRecord = createOwnRecordPusher({
		self, domain, directory, members, distributor, peers, clock,
	});
	const status = createStatusCollector({
		self, domain, configuration, directory, distributor, peers,
	});
	const gossip = createGossip({
		settings: settings.membership, self, domain, configuration, directory, members, distributor, status, reported, reportedDrains, clock, timeline, meter, network, random, quarantine,
	});
	const relayWatch = createRelayWatch({
		store, configuration, timeline, domain, random, setLagReason: status.setLagReason,
	});
	const control = createControlServer({
		configuration, directory, distributor, reported, reportedDrains, status, clock, timeline, meter, random, isReady: () => isReady,
	});

	const localServers = createLocalServers(settings.admission, quarantine, timeline, servers => {
		directory.setServers(servers);
	});
	const gateClient = createGateClient(clock, network);
	const heldLimits = computeHeldLimits(settings.machine);
	const ledger = createMemoryLedger(heldLimits);
	const entry = createEntryServer({
		self,
		domain,
		settings: settings.calls,
		getDirectory: directory.getDirectory,
		loads,
		localServers,
		gateClient,
		budget: createRetryBudget(settings.calls),
		quarantine,
		timeline,
		random,
		getSnapshot: () => isReady ? snapshot : undefined,
		idempotencyStore: store,
		metrics,
		ledger,
		maxConnections: heldLimits.callerConnections,
	});
	const gateServer = createGateServer(localServers, clock);

	const acceptance: AcceptanceContext = {
		store,
		random,
		getConfiguration: configuration.getConfiguration,
		applyIfNewer(next, deltas) {
			configuration.applyIfNewer(next, deltas, 'own');
		},
	};
	const submissions = createSubmissionQueue(async batch => {
		const outcomes = await acceptSubmissions(acceptance, batch);
		for (const [index, outcome] of outcomes.entries()) {
			timeline.record({
				kind: 'submission-settled', submission: batch[index]?.id ?? ('' as never), outcome: outcome.type, ...'version' in outcome ? {version: outcome.version} : {},
			});
		}

		return outcomes;
	});

	const getStatus = (): NodeStatusResponse => {
		const current = configuration.getConfiguration();
		const treePosition = distributor.getTreePosition();
		const memory = process.memoryUsage();
		const cpu = process.cpuUsage();
		return {
			node: self,
			failureDomain: domain,
			version: current.version,
			digest: current.digest,
			floor: configuration.getFloor(),
			isReady,
			isRelay: treePosition.relay === self,
			isDraining,
			relay: treePosition.relay,
			parent: treePosition.parent ?? '',
			children: treePosition.children,
			knownNodes: directory.getDirectory().tree.size,
			store: store.getCounts(),
			controlBytes: meter.getCounts(),
			addedMicroseconds: {p50: metrics.getAddedLatencyPercentile(50), p99: metrics.getAddedLatencyPercentile(99)},
			cpuMicroseconds: cpu.user + cpu.system,
			heapBytes: memory.heapUsed,
			residentBytes: memory.rss,
		};
	};

	const operatorApi = createOperatorApi({
		domain,
		getConfiguration: configuration.getConfiguration,
		getSnapshot: () => snapshot,
		getDirectory: directory.getDirectory,
		getStatus,
		getFleet: async () => status.getFleetSummaries(true),
		submit: submissions.submit,
		async findSubmission(id) {
			const found = await findSubmissionVersion(acceptance, id);
			return found.match((version): number | string => version, reason => reason);
		},
		async republish() {
			const result = await republishHead(store, configuration.getConfiguration());
			return result.isErr() ? result.error : '';
		},
		localServers,
		pushOwnRecord,
		loads,
		metrics,
		timeline,
		random,
	});
	/** A server that announces itself may have been leaving in an earlier run of this node, which other nodes know. */
	const waitUntilJoined = async (): Promise<void> => {
		const leftMs = createdAt + maxJoinWaitMs - readNow();
		if (!joined.signal.aborted && leftMs > 0) {
			await waitFor(leftMs, joined.signal);
		}
	};

	const operatorServer = createHttpServer(getRequestListener(operatorApi.fetch));
	const announcementServer = createHttpServer(getRequestListener(createAnnouncementApi(localServers, {waitUntilJoined, pushOwnRecord}).fetch));
	const handleClosed = ({cause, client, bytes, requests}: ClosedConnection): void => {
		timeline.record({
			kind: 'connection-closed', reason: cause, client, bytes, requests,
		});
	};

	const windows = [
		handleInTurn(gateServer.server, {
			ledger, maxConnections: heldLimits.peerConnections, maxInWork: 1, handleClosed,
		}),
		...[operatorServer, announcementServer].map(server => handleInTurn(server, {
			ledger, maxConnections: heldLimits.operatorConnections, maxInWork: 1, handleClosed,
		})),
	];
	let relayDutyTimer: NodeJS.Timeout | undefined;
	let loadCleanupTimer: NodeJS.Timeout | undefined;

	const checkConnections = (): void => {
		entry.checkConnections();
		for (const window of windows) {
			window.check();
		}
	};

	/** Starts or stops watching the store. Relay and standby watch it, but only once they are ready: a node that knows no other yet considers itself the relay. */
	const updateRelayWatch = (): void => {
		const {relay, standby} = distributor.getTreePosition();
		relayWatch.update(isReady && !isDraining && (relay === self || standby === self));
	};

	const removeUnknownLoads = (): void => {
		const known = new Set([...directory.getDirectory().services.values()].flatMap(servers => [...servers.keys()]));
		loads.retain(id => known.has(id));
	};

	const join = async (): Promise<void> => {
		const context = {
			seeds: settings.seeds, store, configuration, directory, distributor, peers, clock, random,
			handleLeavingServers: localServers.restoreDrains,
		};
		isReady = await joinMesh(context, joinAbort.signal);
		joined.abort();
		if (isReady) {
			timeline.record({kind: 'node-ready', version: configuration.getConfiguration().version});
			await joinUnknownSeeds(context, joinAbort.signal);
		}
	};

	const listPorts = (): readonly Port[] => {
		const {listen} = settings;
		const gossipEndpoint = parseAddress(listen.gossip);
		const controlEndpoint = parseAddress(listen.control);
		return [
			{name: 'gossip', address: listen.gossip, listen: async () => gossip.listen(gossipEndpoint.host, gossipEndpoint.port)},
			{name: 'control', address: listen.control, listen: async () => control.listen(controlEndpoint.host, controlEndpoint.port)},
			{name: 'gate', address: listen.gate, listen: async () => listenOn(gateServer.server, listen.gate)},
			{name: 'operators', address: listen.operators, listen: async () => listenOn(operatorServer, listen.operators)},
			{name: 'announcements', address: listen.announcements, listen: async () => listenOn(announcementServer, listen.announcements)},
			{name: 'callers', address: listen.callers, listen: async () => listenOn(entry.server, listen.callers)},
		];
	};

	const dispose = async (): Promise<void> => {
		joinAbort.abort();
		joined.abort();
		clearInterval(relayDutyTimer);
		clearInterval(loadCleanupTimer);
		relayWatch.dispose();
		distributor.dispose();
		peers.dispose();
		await Promise.all([
			gossip.dispose(),
			control.dispose(),
			localServers.dispose(),
			gateClient.dispose(),
			closeServer(gateServer.server),
			closeServer(entry.server),
			closeServer(operatorServer),
			closeServer(announcementServer),
		]);
	};

	return {
		async start() {
			timeline.record({kind: 'node-started'});
			const failure = await openPorts(listPorts());
			if (failure !== undefined) {
				return err(failure);
			}

			gossip.start();
			relayDutyTimer = setInterval(() => {
				updateRelayWatch();
				checkConnections();
			}, relayDutyCheckMs);
			loadCleanupTimer = setInterval(removeUnknownLoads, loadCleanupMs);
			void join();
			return ok();
		},
		async drain() {
			isDraining = true;
			timeline.record({kind: 'node-draining'});
			const isDone = await drainNode({
				startDrainingServers: localServers.drainAll,
				startDrainingEntry: entry.startDraining,
				stopListening: entry.stopListening,
				countCalls: entry.countCalls,
				waitUntilIdle: localServers.waitUntilIdle,
				endCalls() {
					entry.endCalls();
					gateServer.endCalls();
				},
				leave() {
					directory.setOwnStatus('left');
				},
				drainMs: settings.calls.drainMs,
			});
			timeline.record({kind: 'node-stopped'});
			await dispose();
			return isDone;
		},
		dispose,
		getStatus,
	};
}
