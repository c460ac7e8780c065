/**
 * A sidecar node: everything that runs beside one backend server on a platform
 * whose store holds the configuration, wired together.
 *
 * @module
 */
import {type Result} from 'neverthrow';
import {updateClockOffsets, readSteadyMs, watchResume} from '../common/clock.js';
import {type NodeId} from '../common/ids.js';
import {toLifetimeKey} from '../common/server-lifetime.js';
import {listenAt} from '../common/listen-at.js';
import {createLoopLag} from '../common/loop-lag.js';
import {createRequestStartLimiter} from '../common/request-start-limiter.js';
import {type CallHeaderNames} from '../forwarding/call-headers.js';
import {createEntryServer, type FinishedCall} from '../forwarding/entry-server.js';
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
import {type PeerLimits, type PeerChange} from '../peers/peer-table.js';
import {type ActiveConfig} from '../route-config/config-holder.js';
import {type RouteConfig} from '../route-config/route-config.js';
import {createWeightedRoundRobin} from '../route-config/weighted-round-robin.js';
import {createLoadView} from '../decisions/load-view.js';
import {type Candidate} from '../decisions/rank-servers.js';
import {type MeshStore} from '../store/mesh-store.js';
import {type MeshLog} from '../timeline/mesh-log.js';
import {createRefusalLog} from '../timeline/refusal-log.js';
import {createAnnouncementServer, type AnnouncementContext} from './announcement-server.js';
import {createConfigSync} from './config-sync.js';
import {createHousekeeping} from './housekeeping.js';
import {listCandidates, type CandidateNeeds} from './list-candidates.js';
import {createMeshMetrics} from './mesh-metrics.js';
import {createOwnServerCalls} from './own-server-calls.js';
import {createPeerWatch} from './peer-watch.js';
import {listFixedChanges, mergeSettings} from './settings-change.js';
import {type SidecarSettings} from './sidecar-settings.js';
import {createMetricsServer, createReadinessServer} from './status-servers.js';
import {stopInOrder} from './stop-in-order.js';
import {createSilenceWatchers} from './silence-watchers.js';

/** What a sidecar node is handed by its surroundings. @public */
export type SidecarSurroundings = {
	readonly store: MeshStore;
	/** Key of the configuration in the store. */
	readonly configKey: string;
	readonly decodeConfig: (text: string) => Result<RouteConfig, string>;
	/** Decodes a call of a backend server; `undefined` if there is no such call. */
	readonly decodeServerCall: AnnouncementContext['decode'];
	readonly wire: CallHeaderNames;
	readonly log: MeshLog;
	readonly random: () => number;
	/** Sets by how much the young generation of this process's heap grows. */
	readonly applyGrowthFactor: (factor: number) => void;
};

/** @public */
export type Sidecar = {
	readonly start: () => Promise<void>;
	/** Takes over settings that may change while it runs; yields the names of those that need a restart. */
	readonly applySettings: (changed: SidecarSettings) => readonly string[];
	/** Leaves without losing work, within the time that the settings give. */
	readonly drain: () => Promise<void>;
	readonly dispose: () => Promise<void>;
};

/** Milliseconds between two heartbeats: short enough that a dark VM is noticed within little more than a second, at some 60 datagrams a second in a mesh of 13. */
const heartbeatMs = 400;

/** Two heartbeats may be lost before a node counts as silent. */
const silenceMs = 1050;

/** How long a node may take to answer when it is asked for a report. Milliseconds: with the time until it is asked, a dark VM is noticed as soon as one whose heartbeats come every period. */
const probeMs = 650;

/** Nodes that are taken to share the slack of the retry allowance while a node has just started, until it knows of more: the smallest mesh of the users has 13. */
const assumedNodes = 12;

/** Connections to a backend server before a configuration says how many it accepts. */
const defaultConnections = 64;

/**
 * Creates a sidecar node.
 *
 * @param firstSettings - Its settings at the start.
 * @param surroundings - The store, the platform's formats, and where events go.
 * @returns The node, not started yet.
 * @public
 */
export function createSidecar(firstSettings: SidecarSettings, surroundings: SidecarSurroundings): Sidecar {
	const {store, wire, random} = surroundings;
	let settings = firstSettings;
	const metrics = createMeshMetrics();
	const log = metrics.countEvents(surroundings.log);
	const refusals = createRefusalLog(log, metrics.countRefusal);
	const {node: self, failureDomain: domain} = settings;
	const run = createRunName(random);
	const createdAt = readSteadyMs();
	let isLeaving = false;
	let isGateLeaving = false;
	let wasReady = false;

	const splitter = createWeightedRoundRobin(random);
	const returningCallers = createCallerRetryDetector();
	const awaitedRoutes = createNestedCallDetector();
	const loads = createLoadView();
	const lag = createLoopLag();
	const turns = createRequestStartLimiter();
	/**
	 * Work on a caller's request begins once what arrived with it is heard; that on requests of new connections, a few a turn. A new connection may have waited in
	 * the listening socket's queue for seconds while turns are short, and its caller have left, as at the last node of a failure domain whose
	 * others have been killed.
	 */
	const waitForWork = async (isNewConnection: boolean): Promise<void> => {
		await lag.waitForPendingInput(isNewConnection);
		if (isNewConnection) {
			await turns.waitForStart();
		}
	};

	const silence = createSilenceWatchers();

	const handleAdopted = ({config}: ActiveConfig): void => {
		entry.applyLimits(config.limits);
		if (!wasReady) {
			wasReady = true;
			log.record('info', {kind: 'node-ready', version: config.version});
		}

		const routes = new Set(config.routes.map(({name}) => name));
		splitter.retain(routes);
		returningCallers.retain(routes);
		awaitedRoutes.retain(routes);
	};

	const quarantine = createQuarantine({
		log,
		handleUrgentChange() {
			link.announceToAll();
		},
		handleCrash(report) {
			void sync.tellCrash(report);
		},
		handleQuarantined(records) {
			sync.storeSuspects(records);
		},
	});

	const linkWriter = createLinkWriter(settings.linkMbps);
	const gate = createLocalGate({
		wire,
		log,
		quarantine,
		handleChange() {
			link.announce();
		},
		getMaxConnections: service => sync.holder.get()?.config.services.find(({name}) => name === service)?.maxConnections ?? defaultConnections,
		isLeaving: () => isGateLeaving,
		linkMbps: settings.linkMbps,
		countQueuedBytes: linkWriter.countQueuedBytes,
	});

	const describeSelf = (sequence: number): Omit<PeerReport, 'periods' | 'isProbe'> => ({
		node: self, run, sequence, domain, gate: settings.listen.gate, gossip: settings.listen.gossip, version: sync.holder.getVersion(), isLeaving: isGateLeaving, server: gate.describe(),
		duties: sync.describeDuties(), suspects: quarantine.listBatch(),
	});

	const handleReport = (report: PeerReport, news: PeerChange): void => {
		if (news === 'restarted' || news === 'returned') {
			gateClient.renewConnections(report.gate, 'back');
		}

		if (report.server !== undefined) {
			loads.recordReport(toLifetimeKey(report.server.lifetime), report.server, readSteadyMs());
		}

		quarantine.merge(report.suspects, report.node);
		sync.handleReport(report);
	};

	const isNear = (report: PeerReport): boolean => report.domain === domain;
	const peerLimits: PeerLimits = {
		silenceMs, probeMs, forgetMs: 60_000, avoidMs: 250, getPeriodMs: report => isNear(report) ? report.periods.ownDomainMs : report.periods.otherDomainMs,
	};
	const link = createPeerLink({
		settings: {
			...peerLimits, node: self, listen: settings.listen.gossip, domain, periodMs: heartbeatMs,
		}, describeSelf, isFollowing: () => sync.describeDuties().isFollowing, log, refusals, random, handleReport, handleRound(lateMs) {
			updateClockOffsets();
			watch.handleRound(lateMs);
			housekeeping.handleRound();
		},
	});

	const gateClient = createGateClient({link: linkWriter});
	const sync = createConfigSync({
		store, configKey: surroundings.configKey, decodeConfig: surroundings.decodeConfig, self, gossip: settings.listen.gossip, linkMbps: settings.linkMbps,
		link, peerLimits, isNear, fetchConfig: gateClient.fetchConfig, log, refusals, random, handleAdopted,
		suspects: {
			listQuarantined: quarantine.listQuarantined,
			handleRecords(records) {
				quarantine.merge(records, 'store');
			},
		},
	});

	/** Whatever was sent before may hang on a connection that a cut has left half open. */
	const renewConnections = (node: NodeId): void => {
		const peer = link.table.get(node);
		if (peer !== undefined) {
			gateClient.renewConnections(peer.report.gate, 'unreachable');
		}
	};

	const listServers = (needs: CandidateNeeds): readonly Candidate[] => listCandidates(needs, {
		own: {
			node: self, gate: settings.listen.gate, domain, server: isGateLeaving ? undefined : gate.describe(),
		},
		peers: link.table.listService(needs.service), limits: peerLimits, loads, random,
	}, readSteadyMs());

	const handleFinished = (call: FinishedCall): void => {
		metrics.recordCall(call);
		housekeeping.noteCall();
		const isOrdinary = call.status < 500 && call.attempts.filter(({verdict}) => verdict !== 'not-run').length <= 1;
		const level = isOrdinary ? 'debug' : 'info';
		log.record(level, {kind: 'call-finished', call: call.id, ...omitId(call)});
	};

	/** A node that has just started knows few of those that share the slack, and what it used of it before it restarted it has forgotten. */
	const countSlackNodes = (): number => Math.max(link.table.size + 1, readSteadyMs() - createdAt < settings.retries.windowMs ? assumedNodes : 1);

	const entry = createEntryServer({
		self,
		domain,
		callerService: settings.service,
		listCandidates: listServers,
		localGate: gate,
		quarantine,
		gateClient,
		loads,
		retryBudget: createMeshRetryBudget(() => settings.retries, countSlackNodes),
		log,
		random,
		noteUnreachable(node, reason) {
			link.noteUnreachable(node);
			renewConnections(node);
			log.record('info', {kind: 'peer-avoided', peer: node, reason});
		},
		noteReached: link.noteReached,
		watchSilence: silence.watch,
		headerNames: wire,
		getConfig: sync.holder.get,
		isConfigOutdated: sync.isBehind,
		waitForNewerConfig: sync.waitForNewer,
		splitter,
		callerRetryDetector: returningCallers,
		nestedCallDetector: awaitedRoutes,
		handleFinished,
		waitForPendingInput: waitForWork,
		estimateUnreadMs: lag.estimateUnreadMs,
	});
	const waitForLag = async (): Promise<void> => lag.waitForPendingInput();
	const gateServer = createGateServer({
		gate, getConfig: sync.answerConfig, catchUp: waitForLag, log, refusals, link: linkWriter,
	});
	const announcementServer = createAnnouncementServer({
		...createOwnServerCalls({
			decode: surroundings.decodeServerCall, service: settings.service, listPeers: link.table.list, gate,
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
		{name: 'stonemoor_store_reachable', help: '1 if the last call on the store was answered', read: () => Number(sync.isStoreReachable())},
	]);

	const housekeeping = createHousekeeping({
		listPeers: link.table.list, loads, silence, applyGrowthFactor: surroundings.applyGrowthFactor,
	});

	const watch = createPeerWatch({
		link, limits: peerLimits, silence, gateClient, log, handleDelay(delayMs) {
			lag.recordTimerDelay(delayMs);
			metrics.recordDelay(delayMs);
		},
	});

	/** What was known of the store may be over: its timers stood still, and watches hang on connections that others have given up. */
	const unwatchResume = watchResume(suspendedMs => {
		log.record('warn', {kind: 'node-suspended', forMs: Math.round(suspendedMs)});
		sync.startAnew();
	});

	const dispose = async (): Promise<void> => {
		unwatchResume();
		watch.dispose();
		housekeeping.dispose();
		sync.dispose();
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

	/** A call whose answer has not left yet is in work: to go then would cut it. */
	const countWork = (): number => entry.countCalls() + gate.countRequests() + entry.countUnsentAnswers() + gateServer.countUnsent();

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
			watch.start();
			housekeeping.start();
			sync.start();
		},
		applySettings(changed) {
			settings = mergeSettings(settings, changed);
			link.addSeedAddresses(settings.seeds);
			return listFixedChanges(settings, changed);
		},
		async drain() {
			isLeaving = true;
			log.record('info', {kind: 'node-draining', reason: 'signal', requests: countWork()});
			const afterMs = await stopInOrder({
				withdraw() {
					void sync.withdraw();
				},
				closeGate() {
					isGateLeaving = true;
					link.announce();
				},
				closeAfterAnswers: entry.startClosing,
				stopListening: entry.stopListening,
				countWork,
			}, settings.shutdownMs);
			log.record('info', {kind: 'node-stopped', requests: countWork(), afterMs: Math.round(afterMs)});
			await dispose();
		},
		dispose,
	};
}

/** Names this run: some 53 random bits, so that two runs of a node that share a name do not meet in practice. */
function createRunName(random: () => number): string {
	return Math.floor(random() * Number.MAX_SAFE_INTEGER).toString(36);
}

function omitId(call: FinishedCall): Omit<FinishedCall, 'id' | 'service'> {
	const {id: _id, service: _service, ...rest} = call;
	return rest;
}
