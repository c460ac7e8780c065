/**
 * Keeps a node's configuration in step with the store and with the other
 * nodes: who watches the store, who hears from whom, and what is handed on.
 *
 * @module
 */
import {type Result} from 'neverthrow';
import {readSteadyMs, waitFor} from '../common/clock.js';
import {type Address, type NodeId} from '../common/ids.js';
import {type EncodedConfigAnswer} from '../forwarding/config-messages.js';
import {type GateClient} from '../forwarding/gate-client.js';
import {type PeerLink} from '../peers/peer-link.js';
import {type NodeDuties, type PeerReport} from '../peers/peer-report.js';
import {isHeard, type PeerLimits} from '../peers/peer-table.js';
import {createConfigHolder, type ConfigHolder, type ActiveConfig} from '../route-config/config-holder.js';
import {type RouteConfig} from '../route-config/route-config.js';
import {type MeshStore} from '../store/mesh-store.js';
import {noEra, type StoreEra} from '../store/store-position.js';
import {createCrashEntries, crashPrefix, type CrashEntries} from '../sync/crash-entries.js';
import {createConfigFollower} from '../sync/config-follower.js';
import {createRegistration} from '../sync/registration.js';
import {isRelay, type DomainNode} from '../sync/relay-duty.js';
import {createStoreHealth} from '../sync/store-health.js';
import {
	createSuspectEntries, suspectPrefix, type SuspectEntries, type SuspectEntriesContext,
} from '../sync/suspect-entries.js';
import {type MeshLog} from '../timeline/mesh-log.js';
import {type RefusalLog} from '../timeline/refusal-log.js';
import {createConfigAnswers} from './config-answers.js';
import {createNewerConfigFetcher} from './newer-config.js';

/** @internal */
export type ConfigSyncContext = {
	readonly store: MeshStore;
	/** Key of the configuration in the store. */
	readonly configKey: string;
	readonly decodeConfig: (text: string) => Result<RouteConfig, string>;
	readonly self: NodeId;
	/** Where this node takes heartbeats. */
	readonly gossip: Address;
	/** Megabits a second of this VM's link. */
	readonly linkMbps: number;
	readonly link: PeerLink;
	readonly peerLimits: PeerLimits;
	/** Whether another node stands in the same failure domain. */
	readonly isNear: (report: PeerReport) => boolean;
	readonly fetchConfig: GateClient['fetchConfig'];
	readonly log: MeshLog;
	readonly refusals: RefusalLog;
	readonly random: () => number;
	/** What keeps and finds quarantined requests in the store. */
	readonly suspects: Pick<SuspectEntriesContext, 'listQuarantined' | 'handleRecords'>;
	/** Told of each configuration that comes into force. */
	readonly handleAdopted: (held: ActiveConfig) => void;
};

/** @internal */
export type ConfigSync = {
	readonly holder: Pick<ConfigHolder, 'get' | 'getVersion'>;
	/** What this node tells the others of its part in this. */
	readonly describeDuties: () => NodeDuties;
	/** Takes in what another node says that it has. */
	readonly handleReport: (report: PeerReport) => void;
	/** What a node is sent that has a version of the configuration. */
	readonly answerConfig: (version: number) => EncodedConfigAnswer;
	readonly isStoreReachable: () => boolean;
	/** Whether a newer version is known of than the one in force here. */
	readonly isBehind: () => boolean;
	/** Waits until this node is not behind any more, or a moment has passed. */
	readonly waitForNewer: () => Promise<void>;
	/** Looks at the store anew: what is in force stays so. */
	readonly startAnew: () => void;
	/** Keeps quarantined requests in the store. */
	readonly storeSuspects: SuspectEntries['write'];
	/** Tells of a crash through the store. */
	readonly tellCrash: CrashEntries['publish'];
	readonly start: () => void;
	/** Takes this node out of the store. */
	readonly withdraw: () => Promise<void>;
	readonly dispose: () => void;
};

/** A node that has known of a newer version for this long and got it from nobody asks the store itself: it may hear the others and not reach them. Milliseconds: what is left of the time in which a change has to be in force is enough to read it. */
const ownReadAfterMs = 1000;

/** How long a request waits for a version that is known of and not here. Milliseconds: nearly all versions are handed over within it, and it is a part of the shortest latency objectives. */
const newerWaitMs = 200;

/** Between two questions to the store because of what other nodes say of it, in milliseconds. */
const leastAskMs = 1000;

/** Milliseconds until what failed by a fault of this program runs again. */
const faultPauseMs = 1000;

/**
 * @param context - The store, the other nodes, and who is told.
 * @returns What keeps the configuration, not started yet.
 * @internal
 */
export function createConfigSync(context: ConfigSyncContext): ConfigSync {
	const {store, self, link, peerLimits, isNear, log, random} = context;
	const disposed = new AbortController();

	/** Those who wait for the next version. */
	const waiting = new Set<() => void>();

	const holder = createConfigHolder((held, source) => {
		context.handleAdopted(held);
		for (const handleAdopted of waiting) {
			handleAdopted();
		}

		log.record('info', {
			kind: 'configuration-applied', version: held.config.version, from: source, routes: held.config.routes.length,
		});
		if (follower.isFollowing()) {
			// Those that do not watch the store wait for this word.
			link.announceToDomain();
		}
	});

	const health = createStoreHealth(log, () => {
		follower.resync();
	});

	const describeDuties = (): NodeDuties => ({
		linkMbps: context.linkMbps, isFollowing: follower.isFollowing(), storeSeenMs: health.getLastAnswerAgeMs(readSteadyMs()), storeEra: store.getEra() ?? noEra,
	});

	/** Describes the other nodes of the failure domain one by one, since few of them are looked at. */
	function * describeHeard(now: number): Generator<DomainNode> {
		for (const peer of link.table.listOwnDomain()) {
			const {report: {node, isLeaving, duties}, reportedAt, periodMs} = peer;
			if (!isLeaving && isHeard(peer, peerLimits, now)) {
				const {linkMbps, isFollowing, storeSeenMs} = duties;
				yield {
					node, linkMbps, isFollowing, storeSeenMs, heardMsAgo: now - reportedAt, periodMs,
				};
			}
		}
	}

	/** Whether this node watches the store, by what it hears of the others in its failure domain. */
	const mayFollow = (): boolean => {
		const now = readSteadyMs();
		if (newer.getBehindMs(now) > ownReadAfterMs) {
			return true;
		}

		const self: DomainNode = {
			...describeDuties(), node: context.self, heardMsAgo: 0, periodMs: 0,
		};
		return isRelay(self, describeHeard(now), link.table.countDomains());
	};

	const follower = createConfigFollower({
		store, health, holder, key: context.configKey, decode: context.decodeConfig, log, random, shouldFollow: mayFollow, handleRead(startedAt) {
			newer.noteStoreRead(startedAt);
		},
	});
	const suspects = createSuspectEntries({
		store, log, refusals: context.refusals, random, countPeers: () => link.table.size, ...context.suspects,
	});
	const crashes = createCrashEntries({
		store, log, refusals: context.refusals, handleRecords: context.suspects.handleRecords,
	});
	const registration = createRegistration({
		store, health, self, gossip: context.gossip, log, random, isFollowing: () => follower.isFollowing(), countPeers: () => link.table.size, countSilent: link.countSilent,
		isKnown: link.table.hasGossipAddress, refusals: context.refusals, handleAddresses: link.addSeedAddresses,
		handleOtherItems(items) {
			crashes.reconcile(items.filter(({key}) => key.startsWith(crashPrefix)));
			suspects.reconcile(items.filter(({key}) => key.startsWith(suspectPrefix)));
		},
	});

	/** What was known by revision or lease is void; what is in force stays so. */
	const startAnew = (): void => {
		follower.resync();
		registration.checkSoon();
	};

	store.watchEra(era => {
		log.record('warn', {kind: 'store-restored', era});
		crashes.handleRestored();
		suspects.handleRestored();
		startAnew();
	});

	/** The era that another node told of last, and when this node last asked the store because of it. */
	let toldEra = noEra;
	let askedAt = Number.NEGATIVE_INFINITY;

	/** A watch that hangs hears of nothing; the others may know. The store itself tells whether it is true, so that a node that names any number costs a call a second at the most. */
	const hearEra = (era: StoreEra): void => {
		const known = store.getEra();
		const now = readSteadyMs();
		if (known === undefined || era <= known || era === toldEra || now - askedAt < leastAskMs) {
			return;
		}

		toldEra = era;
		askedAt = now;
		startAnew();
	};

	const newer = createNewerConfigFetcher({
		getCurrent() {
			const held = holder.get();
			return held === undefined ? undefined : {version: held.config.version, text: held.text};
		},
		hasOwnWatch: () => follower.isFollowing() && health.isReachable(),
		isNear,
		fetchConfig: context.fetchConfig,
		adoptText: follower.applyText,
		handleUnusable(report, reason) {
			log.record('warn', {
				kind: 'configuration-refused', version: report.version, from: report.node, reason,
			});
		},
		handleHeard({node, version}) {
			log.record('info', {
				kind: 'configuration-heard', version, from: node, held: holder.getVersion(),
			});
		},
		handleFailed({node, version}, {type, reason}, tookMs) {
			log.record('info', {
				kind: 'configuration-not-fetched', version, from: node, held: holder.getVersion(), outcome: type, reason, tookMs: Math.round(tookMs),
			});
		},
	});

	const waitForNewer = async (): Promise<void> => {
		const endsAt = readSteadyMs() + newerWaitMs;
		for (let now = readSteadyMs(); newer.isBehind() && now < endsAt; now = readSteadyMs()) {
			const adopted = new AbortController();
			const handleAdopted = (): void => {
				adopted.abort();
			};

			waiting.add(handleAdopted);
			await waitFor(endsAt - now, adopted.signal);
			waiting.delete(handleAdopted);
		}
	};

	const tellFault = (error: unknown): void => {
		log.record('error', {kind: 'node-failed', reason: (error as Error).stack ?? String(error)});
	};

	/** A fault of this program must neither end the node nor what it hears from the store. */
	const keepRunning = async (run: () => Promise<void>): Promise<void> => {
		while (!disposed.signal.aborted) {
			try {
				await run();
				return;
			} catch (error) {
				tellFault(error);
				await waitFor(faultPauseMs, disposed.signal);
			}
		}
	};

	let resyncedAt = Number.NEGATIVE_INFINITY;

	/** A watch may hang, or others may claim what is not there: a watcher that stands still asks the store as any other node does. */
	const checkOwnWatch = (): void => {
		const now = readSteadyMs();
		if (follower.isFollowing() && newer.getBehindMs(now) > ownReadAfterMs && now - resyncedAt >= leastAskMs) {
			resyncedAt = now;
			follower.resync();
		}
	};

	const handleReport = async (report: PeerReport): Promise<void> => {
		try {
			await newer.handleReport(report);
		} catch (error) {
			tellFault(error);
		}
	};

	return {
		holder,
		describeDuties,
		handleReport(report) {
			hearEra(report.duties.storeEra);
			// Most reports tell of the version that is in force here: no work is begun for these.
			if (report.version > holder.getVersion()) {
				checkOwnWatch();
				void handleReport(report);
			}
		},
		answerConfig: createConfigAnswers(holder),
		isStoreReachable: health.isReachable,
		isBehind: newer.isBehind,
		waitForNewer,
		startAnew,
		storeSuspects: suspects.write,
		tellCrash: crashes.publish,
		start() {
			void keepRunning(follower.run);
			void keepRunning(registration.run);
		},
		withdraw: registration.withdraw,
		dispose() {
			disposed.abort();
			registration.dispose();
			follower.dispose();
			store.dispose();
		},
	};
}
