/**
 * Wires the parts of a sidecar node: the process that runs beside one backend
 * server, on a platform whose store holds the configuration.
 *
 * @module
 */
import {type Result} from 'neverthrow';
import {updateClockOffsets, readSteadyMs, watchResume} from '../common/clock.js';
import {type Address, type NodeId} from '../common/ids.js';
import {type HeaderMap} from '../calls/attempt.js';
import {toLifetimeKey, type LifetimeKey} from '../common/server-lifetime.js';
import {createServerDepartures} from '../departures/server-departures.js';
import {listenAt} from '../common/listen-at.js';
import {createLoopLag} from '../common/loop-lag.js';
import {createRequestStartLimiter, type ListenForEnd} from '../common/request-start-limiter.js';
import {type CallHeaderNames} from '../forwarding/call-headers.js';
import {type FinishedCall} from '../forwarding/entry-context.js';
import {createEntryServer} from '../forwarding/entry-server.js';
import {createGateClient} from '../forwarding/gate-client.js';
import {createGateServer} from '../forwarding/gate-server.js';
import {createLinkWriter} from '../forwarding/link-writer.js';
import {createLocalGate} from '../forwarding/local-gate.js';
import {createMeshRetryBudget} from '../decisions/mesh-retry-budget.js';
import {createNestedCallDetector} from '../decisions/nested-call-detector.js';
import {createCallerRetryDetector} from '../decisions/caller-retry-detector.js';
import {createQuarantine} from '../quarantine/quarantine.js';
import {createPeerLink} from '../peers/peer-link.js';
import {type PeerReport} from '../peers/peer-report.js';
import {
	isHeard, isReachable, type PeerLimits, type PeerChange,
} from '../peers/peer-table.js';
import {createQuotas} from '../quotas/quotas.js';
import {defaultQuotaTolerance} from '../quotas/quota-plan.js';
import {createRollouts} from '../rollout/rollouts.js';
import {type RolloutFormat} from '../sync/rollout-entries.js';
import {findRoute} from '../route-config/route-index.js';
import {type ActiveConfig} from '../route-config/config-holder.js';
import {isRepeatable, type RouteConfig} from '../route-config/route-config.js';
import {createWeightedRoundRobin} from '../route-config/weighted-round-robin.js';
import {createLeavingServers} from '../server-notices/leaving-servers.js';
import {isLeavingNotice, readServerLimit} from '../server-notices/server-notice.js';
import {createLoadView} from '../decisions/load-view.js';
import {type Candidate} from '../decisions/rank-servers.js';
import {type MeshStore} from '../store/mesh-store.js';
import {computeHeldLimits, defaultMachineLimits} from '../memory/memory-limits.js';
import {createMemoryLedger} from '../memory/memory-ledger.js';
import {handleInTurn} from '../memory/handle-in-turn.js';
import {type ClosedConnection} from '../memory/closed-connection.js';
import {type ClosingPlace, type MeshLog} from '../timeline/mesh-log.js';
import {createRefusalLog} from '../timeline/refusal-log.js';
import {createAnnouncementServer, type AnnouncementContext} from './announcement-server.js';
import {createConfigSync, type RolloutSyncContext} from './config-sync.js';
import {createHousekeeping} from './housekeeping.js';
import {listCandidates, type CandidateQuery} from './list-candidates.js';
import {createMeshMetrics} from './mesh-metrics.js';
import {createLocalServerMessageHandler} from './local-server-messages.js';
import {createLivenessMonitor} from './liveness-monitor.js';
import {listChangesNeedingRestart, mergeSettings} from './settings-change.js';
import {type SidecarSettings} from './sidecar-settings.js';
import {createMetricsServer, createReadinessServer} from './status-servers.js';
import {createServiceServers} from './service-servers.js';
import {createSilenceWatchers} from './silence-watchers.js';
import {stopNode} from './stop-node.js';

/** What a sidecar node needs from the platform and the process. @public */
export type SidecarDependencies = {
	readonly store: MeshStore;
	/** Key of the configuration in the store. */
	readonly configKey: string;
	readonly decodeConfig: (text: string) => Result<RouteConfig, string>;
	/** The platform's keys and formats of rollouts. */
	readonly rolloutFormat: RolloutFormat;
	/** Decodes an operator's order of a rollout, without its position. */
	readonly decodeOrder: RolloutSyncContext['decodeOrder'];
	/** Decodes a message of the backend server; yields `undefined` if there is no such method and path. */
	readonly decodeServerMessage: AnnouncementContext['decode'];
	readonly headerNames: CallHeaderNames;
	readonly log: MeshLog;
	readonly random: () => number;
	/** Sets the growth factor of the young generation of this process's heap. */
	readonly applyGrowthFactor: (factor: number) => void;
};

/** @public */
export type Sidecar = {
	readonly start: () => Promise<void>;
	/** Applies the settings that may change at run time; returns the names of changed settings that need a restart. */
	readonly applySettings: (changed: SidecarSettings) => readonly string[];
	/** Shuts the node down gracefully, within `shutdownMs` of the settings. */
	readonly drain: () => Promise<void>;
	readonly dispose: () => Promise<void>;
};

/** Short enough to detect an unreachable VM within little more than a second, at about 60 datagrams a second in a mesh of 13 nodes. */
const heartbeatPeriodMs = 400;

/** A node counts as silent after this time without a heartbeat. Two heartbeats in a row may be lost. */
const silenceMs = 1050;

/** Timeout of a probe. Including the delay before the first probe, probing detects an unreachable VM with rare heartbeats as soon as `silenceMs` detects one with frequent heartbeats. */
const probeMs = 650;

/** Nodes that a node assumes to share the slack of the retry budget just after its start, unless it knows of more. The smallest mesh in use has 13 nodes. */
const assumedNodeCount = 12;

/** Limit of connections to a backend server for which no configuration sets one. */
const defaultMaxConnections = 64;

/**
 * Creates a sidecar node.
 *
 * @param initialSettings - The settings at the start of the process.
 * @param dependencies - The store, the platform's formats and the log.
 * @returns The node, not started yet.
 * @public
 */
export function createSidecar(initialSettings: SidecarSettings, dependencies: SidecarDependencies): Sidecar {
	const {store, headerNames, random} = dependencies;
	let settings = initialSettings;
	const metrics = createMeshMetrics();
	const log = metrics.countEvents(dependencies.log);
	const refusals = createRefusalLog(log, metrics.countRefusal);
	const {node: self, failureDomain: domain} = settings;
	const heldLimits = computeHeldLimits({memoryMb: settings.memoryMb ?? defaultMachineLimits.memoryMb, maxFds: settings.maxFds ?? defaultMachineLimits.maxFds});
	const ledger = createMemoryLedger(heldLimits);
	const logClosed = (place: ClosingPlace) => ({cause, client, bytes, requests}: ClosedConnection): void => {
		log.record('info', {
			kind: 'connection-closed', place, reason: cause, client, bytes, requests,
		});
	};

	const run = createRunId(random);
	const createdAt = readSteadyMs();
	let isLeaving = false;
	let isGateLeaving = false;
	let wasReady = false;

	const weightedRoundRobin = createWeightedRoundRobin(random);
	const callerRetryDetector = createCallerRetryDetector();
	const nestedCallDetector = createNestedCallDetector();
	const loads = createLoadView();
	const leaving = createLeavingServers();
	const departures = createServerDepartures({
		self,
		log,
		leaving,
		publish: async departure => sync.publishDeparture(departure),
		hasUnstored: () => sync.hasUnstoredDepartures(),
		hasHeardNode: () => [...link.table.list()].some(peer => isHeard(peer, peerLimits, readSteadyMs())),
		handleOwnDeparted(lifetime) {
			gate.applyDeparture(lifetime);
		},
	});
	const lag = createLoopLag();
	const startLimiter = createRequestStartLimiter();
	/**
	 * Waits until the input that arrived together with a request has been read. Only a few requests on new connections start in one iteration of the event loop.
	 * Even while iterations are short, a new connection may have waited in the accept queue for seconds and its caller may have left. This happens, for example,
	 * at the last node of a failure domain whose other nodes were killed.
	 */
	const waitForPendingInput = async (isNewConnection: boolean, listenForEnd: ListenForEnd): Promise<void> => {
		await lag.waitForPendingInput(isNewConnection);
		if (isNewConnection) {
			await startLimiter.waitForStart(listenForEnd);
		}
	};

	const silenceWatchers = createSilenceWatchers();

	const handleConfigApplied = ({config}: ActiveConfig): void => {
		entry.applyLimits(config.limits);
		quotas.applyWorkspaces(config.workspaces);
		if (!wasReady) {
			wasReady = true;
			log.record('info', {kind: 'node-ready', version: config.version});
		}

		const routes = new Set(config.routes.map(({name}) => name));
		weightedRoundRobin.retain(routes);
		callerRetryDetector.retain(routes);
		nestedCallDetector.retain(routes);
	};

	const quarantine = createQuarantine({
		log,
		handleUrgentChange() {
			link.announceToAll();
		},
		handleCrash(report) {
			void sync.publishCrash(report);
		},
		handleQuarantined(records) {
			sync.storeSuspects(records);
		},
	});

	const isInOwnDomain = (report: PeerReport): boolean => report.domain === domain;
	const peerLimits: PeerLimits = {
		silenceMs, probeMs, forgetMs: 60_000, avoidMs: 250, getPeriodMs: report => isInOwnDomain(report) ? report.periods.ownDomainMs : report.periods.otherDomainMs,
	};
	const serviceServers = createServiceServers(() => link, peerLimits);
	const rollouts = createRollouts({
		maxExposure: settings.rollouts?.maxExposure,
		log,
		random,
		getOwnServer: () => gate.describe(),
		listPeerServers: serviceServers.list,
		handleUrgentChange() {
			link.announceToAll();
		},
		storeRecord: async record => sync.storeRollout(record),
	});

	const linkWriter = createLinkWriter(settings.linkMbps);
	const gate = createLocalGate({
		headerNames,
		log,
		refusals,
		quarantine,
		rollouts,
		countLimited: metrics.countLimited,
		findRouteName(host, target) {
			const active = sync.holder.get();
			return active === undefined ? undefined : findRoute(active.index, host, target)?.name;
		},
		isRepeatableRoute(host, target) {
			const active = sync.holder.get();
			const route = active === undefined ? undefined : findRoute(active.index, host, target);
			return route !== undefined && isRepeatable(route.type);
		},
		handleChange() {
			link.announce();
		},
		handleDeparted: departures.recordOwn,
		getMaxConnections: service => sync.holder.get()?.config.services.find(({name}) => name === service)?.maxConnections ?? defaultMaxConnections,
		isLeaving: () => isGateLeaving,
		drainMs: settings.drainMs,
		linkMbps: settings.linkMbps,
		countQueuedBytes: linkWriter.countQueuedBytes,
		ledger,
	});

	const describeSelf = (sequence: number, receiver?: NodeId): Omit<PeerReport, 'periods' | 'isProbe'> => ({
		node: self, run, sequence, domain, gate: settings.listen.gate, gossip: settings.listen.gossip, version: sync.holder.getVersion(), isLeaving: isGateLeaving, server: gate.describe(),
		duties: sync.describeDuties(), suspects: quarantine.listBatch(), rollouts: rollouts.listRecords(),
		departures: departures.listFor(receiver),
	});

	const handleReport = (report: PeerReport, change: PeerChange): void => {
		if (change === 'restarted' || change === 'returned') {
			gateClient.renewConnections(report.gate, 'back');
		}

		if (report.server !== undefined) {
			loads.recordReport(toLifetimeKey(report.server.lifetime), report.server, readSteadyMs());
		}

		departures.handleReport(report);
		quarantine.merge(report.suspects, report.node);
		rollouts.merge(report.rollouts, report.node);
		sync.handleReport(report);
	};

	const link = createPeerLink({
		settings: {
			...peerLimits, node: self, listen: settings.listen.gossip, domain, periodMs: heartbeatPeriodMs,
		}, describeSelf, isRefuted: departures.isRefuted, isFollowing: () => sync.describeDuties().isFollowing, log, refusals, random, handleReport, handleRound(lateMs) {
			updateClockOffsets();
			livenessMonitor.handleRound(lateMs);
			housekeeping.handleRound();
			entry.checkConnections();
			for (const window of windows) {
				window.check();
			}

			serviceServers.announceTo(settings.service, rollouts.handleRound());
		},
	});

	const gateClient = createGateClient({link: linkWriter, ledger});
	const quotas = createQuotas({
		tolerance: settings.quotas ?? defaultQuotaTolerance,
		self,
		linkMbps: settings.linkMbps,
		run,
		* listPeers() {
			const now = readSteadyMs();
			for (const peer of link.table.list()) {
				yield {
					node: peer.report.node, heardAt: peer.heardAt, isLeaving: peer.report.isLeaving, isReachable: isReachable(peer, peerLimits, now), linkMbps: peer.report.duties.linkMbps,
				};
			}
		},
		async sendAsk(node, head) {
			const peer = link.table.get(node);
			return peer === undefined ? undefined : gateClient.askQuota(peer.report.gate, head);
		},
		random,
		countOutcome: metrics.countQuota,
	});
	/** Sends heartbeats to the addresses that the store lists, and counts the nodes there. */
	const handleListedAddresses = (addresses: readonly Address[]): void => {
		const unknown = addresses.filter(address => address !== settings.listen.gossip && !link.table.hasGossipAddress(address));
		quotas.noteListed(unknown.length + link.table.size + 1);
		link.addSeedAddresses(addresses);
	};

	const sync = createConfigSync({
		store, configKey: dependencies.configKey, decodeConfig: dependencies.decodeConfig, self, gossip: settings.listen.gossip, linkMbps: settings.linkMbps,
		link: {...link, addSeedAddresses: handleListedAddresses}, peerLimits, isInOwnDomain, fetchConfig: gateClient.fetchConfig, log, refusals, random, handleConfigApplied,
		suspects: {
			listQuarantined: quarantine.listQuarantined,
			handleRecords(records) {
				quarantine.merge(records, 'store');
			},
		},
		handleListedDepartures: departures.handleListed,
		rollouts: settings.rollouts === undefined
			? undefined
			: {
				format: dependencies.rolloutFormat,
				decodeOrder: dependencies.decodeOrder,
				listRecords: () => rollouts.listRecords() ?? [],
				handleOrders: rollouts.handleOrders,
				handleRecords(records) {
					rollouts.merge(records, 'store');
				},
			},
	});

	/** Replaces the connections to a node: a network failure may have left them half-open, and requests sent on them would hang. */
	const renewConnections = (node: NodeId): void => {
		const peer = link.table.get(node);
		if (peer !== undefined) {
			gateClient.renewConnections(peer.report.gate, 'unreachable');
		}
	};

	const listServers = (query: CandidateQuery): readonly Candidate[] => listCandidates(query, {
		own: {
			// The gate is asked only for calls to its service, since its answer is exact and not free.
			node: self, gate: settings.listen.gate, domain, server: isGateLeaving || query.service !== settings.service ? undefined : gate.describe(),
		},
		peers: link.table.listService(query.service), limits: peerLimits, loads, leaving, random,
	}, readSteadyMs());

	/** Records what a backend server says in a response that this node passes on. The node beside that server logs a limit that cannot be read. */
	const recordNotices = (server: LifetimeKey, headers: HeaderMap): void => {
		const limit = readServerLimit(headers, headerNames);
		if (limit.isOk()) {
			loads.recordLimit(server, limit.value);
		}

		if (isLeavingNotice(headers, headerNames)) {
			leaving.add(server);
		}
	};

	const handleFinished = (call: FinishedCall): void => {
		metrics.recordCall(call);
		housekeeping.recordCall();
		// While a node stops, all calls are logged: the record of a shutdown shows which requests the node had, and how each ended.
		const isOrdinary = !isLeaving && call.status < 500 && call.attempts.filter(({verdict}) => verdict !== 'not-run').length <= 1;
		const level = isOrdinary ? 'debug' : 'info';
		log.record(level, {
			kind: 'call-finished', call: call.id, route: call.route, workspace: call.workspace, version: call.version, status: call.status, verdict: call.verdict,
			reason: call.reason, tookMs: call.tookMs, ...call.unreadMs === 0 ? {} : {unreadMs: call.unreadMs}, leftMs: call.leftMs, attempts: call.attempts, ...call.quota === undefined ? {} : {quota: call.quota},
		});
	};

	/** Returns how many nodes share the slack of the retry budget. Just after its start a node knows few of them and does not know how much slack it used before the restart. */
	const countRetryBudgetNodes = (): number => Math.max(link.table.size + 1, readSteadyMs() - createdAt < settings.retries.windowMs ? assumedNodeCount : 1);

	const entry = createEntryServer({
		self,
		domain,
		callerService: settings.service,
		listCandidates: listServers,
		localGate: gate,
		quarantine,
		rollouts,
		gateClient,
		loads,
		recordNotices,
		retryBudget: createMeshRetryBudget(() => settings.retries, countRetryBudgetNodes),
		log,
		refusals,
		random,
		noteUnreachable(node, reason) {
			link.noteUnreachable(node);
			renewConnections(node);
			log.record('info', {kind: 'peer-avoided', peer: node, reason});
		},
		noteReached: link.noteReached,
		watchSilence: silenceWatchers.watch,
		headerNames,
		getConfig: sync.holder.get,
		isConfigOutdated: sync.isConfigOutdated,
		waitForNewerConfig: sync.waitForNewerConfig,
		weightedRoundRobin,
		callerRetryDetector,
		nestedCallDetector,
		quotas,
		handleFinished,
		waitForPendingInput,
		estimateUnread: lag.estimateUnread,
		ledger,
		maxConnections: heldLimits.callerConnections,
		handleClosed: logClosed('callers'),
	});
	const waitForPendingGateInput = async (): Promise<void> => lag.waitForPendingInput();
	const gateServer = createGateServer({
		gate, getConfig: sync.getConfigAnswer, answerQuotaAsk: quotas.answerAsk, waitForPendingInput: waitForPendingGateInput, log, refusals, link: linkWriter,
		ledger, maxConnections: heldLimits.peerConnections,
	});
	const announcementServer = createAnnouncementServer({
		...createLocalServerMessageHandler({
			decode: dependencies.decodeServerMessage, service: settings.service, listPeers: link.table.list, gate, departures,
		}), refusals,
	});

	const isReady = (): boolean => !isLeaving && sync.holder.get() !== undefined;
	const readinessServer = createReadinessServer(isReady);
	const metricsServer = createMetricsServer(metrics, [
		{name: 'stonemoor_configuration_version', help: 'Version in force', read: sync.holder.getVersion},
		{name: 'stonemoor_peers', help: 'Other nodes known', read: () => link.table.size},
		{name: 'stonemoor_gate_requests', help: 'Requests in work and waiting at the gate', read: gate.countRequests},
		{name: 'stonemoor_entry_calls', help: 'Calls of callers under way', read: () => entry.countCalls()},
		{name: 'stonemoor_suspected_requests', help: 'Requests known to have been in work when backend servers crashed', read: quarantine.countSuspects},
		{name: 'stonemoor_quarantine_refusals', help: 'Judgements that kept a request from backend servers, since the start', read: quarantine.countRefused},
		{name: 'stonemoor_departed_servers', help: 'Backend servers known to have drained or left, which get no requests', read: departures.count},
		{name: 'stonemoor_server_limit', help: 'Requests per second that the backend server takes; absent while it names no limit', read: gate.getLimit},
		{name: 'stonemoor_concurrency_limit', help: 'Requests that the gate sends to the backend server at the same time; absent while there is no server', read: gate.getSlotLimit},
		{name: 'stonemoor_server_slowness', help: 'How long work takes on the VM of the backend server, as a factor of the usual time; absent while the server does not say', read: gate.getSlowness},
		{name: 'stonemoor_quota_asks', help: 'Asks for tokens of quotas sent to other nodes, since the start', read: quotas.countAsks},
		{name: 'stonemoor_held_bytes', help: 'Bytes of bodies and answers held for callers and other nodes', read: () => ledger.count('buffers')},
		{name: 'stonemoor_held_request_bytes', help: 'Bytes on the heap that requests of callers are taken to use', read: () => ledger.count('requests')},
		{name: 'stonemoor_given_up_clients', help: 'Connections and responses that were closed to keep memory free, since the start', read: ledger.countEvicted},
		{name: 'stonemoor_caller_connections', help: 'Open connections of callers', read: () => entry.countConnections()},
		{name: 'stonemoor_store_reachable', help: '1 if the last call on the store was answered', read: () => Number(sync.isStoreReachable())},
	]);

	const otherServers = [
		{server: announcementServer, place: 'announcements'},
		{server: readinessServer, place: 'readiness'},
		{server: metricsServer, place: 'metrics'},
	] as const;
	const windows = otherServers.map(({server, place}) => handleInTurn(server, {
		ledger, maxConnections: heldLimits.operatorConnections, maxInWork: 1, handleClosed: logClosed(place),
	}));

	const housekeeping = createHousekeeping({
		listPeers: link.table.list, loads, silenceWatchers, applyGrowthFactor: dependencies.applyGrowthFactor,
	});

	const livenessMonitor = createLivenessMonitor({
		link, limits: peerLimits, silenceWatchers, gateClient, log, handleDelay(delayMs) {
			lag.recordTimerDelay(delayMs);
			metrics.recordLoopDelay(delayMs);
		},
	});

	/** Resyncs with the store after a suspension: timers did not run meanwhile, so leases may have expired, and watches may wait on connections that the store has closed. */
	const unwatchResume = watchResume(suspendedMs => {
		log.record('warn', {kind: 'node-suspended', forMs: Math.round(suspendedMs)});
		sync.resyncWithStore();
	});

	const dispose = async (): Promise<void> => {
		unwatchResume();
		livenessMonitor.dispose();
		housekeeping.dispose();
		departures.dispose();
		sync.dispose();
		quotas.dispose();
		link.dispose();
		refusals.dispose();
		gateClient.dispose();
		gate.dispose();
		gateServer.server.close();
		await gateServer.dispose();
		linkWriter.dispose();
		for (const server of [entry.server, announcementServer, readinessServer, metricsServer]) {
			server.close();
			server.closeAllConnections();
		}
	};

	return {
		async start() {
			log.record('info', {
				kind: 'node-started', run, service: settings.service, address: settings.listen.callers,
			});
			await link.start();
			await Promise.all([
				listenAt(announcementServer, settings.listen.announcements),
				listenAt(gateServer.server, settings.listen.gate),
				listenAt(entry.server, settings.listen.callers),
				listenAt(readinessServer, settings.listen.readiness),
				listenAt(metricsServer, settings.listen.metrics),
			]);
			link.addSeedAddresses(settings.seeds);
			livenessMonitor.start();
			housekeeping.start();
			sync.start();
		},
		applySettings(changed) {
			settings = mergeSettings(settings, changed);
			link.addSeedAddresses(settings.seeds);
			return listChangesNeedingRestart(settings, changed);
		},
		async drain() {
			isLeaving = true;
			await stopNode({
				entry, gateServer, gate, gateClient, linkWriter, log,
				withdraw() {
					void sync.withdraw();
				},
				closeGate() {
					isGateLeaving = true;
					link.announce();
				},
			}, settings.shutdownMs);
			await dispose();
		},
		dispose,
	};
}

/** Creates an id for this run of the node. It has about 53 random bits, so that two runs of a node practically never get the same id. */
function createRunId(random: () => number): string {
	return Math.floor(random() * Number.MAX_SAFE_INTEGER).toString(36);
}

