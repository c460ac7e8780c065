/**
 * Synchronizes a node's configuration with the store and with the other nodes:
 * decides whether this node watches the store, fetches newer versions from other
 * nodes, and serves its own version to them.
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
import {type RolloutOrder, type RolloutRecord} from '../rollout/rollout-record.js';
import {type StoreOutcome} from '../rollout/rollout-decider.js';
import {type MeshStore, type StoreItem} from '../store/mesh-store.js';
import {noEra, type StoreEra, type StorePosition} from '../store/store-position.js';
import {
	createDepartureEntries, departurePrefix, type DepartureEntries, type DepartureEntriesContext,
} from '../sync/departure-entries.js';
import {createCrashEntries, crashPrefix, type CrashEntries} from '../sync/crash-entries.js';
import {createConfigCopy} from '../sync/config-copy.js';
import {createConfigFollower} from '../sync/config-follower.js';
import {createRegistration} from '../sync/registration.js';
import {isRelay, type DomainNode} from '../sync/relay-duty.js';
import {createRolloutEntries, rolloutPrefix, type RolloutEntriesContext} from '../sync/rollout-entries.js';
import {createStoreHealth} from '../sync/store-health.js';
import {
	createSuspectEntries, suspectPrefix, type SuspectEntries, type SuspectEntriesContext,
} from '../sync/suspect-entries.js';
import {type MeshLog} from '../timeline/mesh-log.js';
import {type RefusalLog} from '../timeline/refusal-log.js';
import {createConfigAnswerCache} from './config-answer-cache.js';
import {createNewerConfigFetcher} from './newer-config-fetcher.js';

/** @internal */
export type ConfigSyncContext = {
	readonly store: MeshStore;
	/** Key of the configuration in the store. */
	readonly configKey: string;
	readonly decodeConfig: (text: string) => Result<RouteConfig, string>;
	readonly self: NodeId;
	/** Address at which this node receives heartbeats. */
	readonly gossip: Address;
	/** Bandwidth of this VM's link in megabits per second. */
	readonly linkMbps: number;
	readonly link: PeerLink;
	readonly peerLimits: PeerLimits;
	/** Returns whether another node is in the failure domain of this node. */
	readonly isInOwnDomain: (report: PeerReport) => boolean;
	readonly fetchConfig: GateClient['fetchConfig'];
	readonly log: MeshLog;
	readonly refusals: RefusalLog;
	readonly random: () => number;
	/** Lists the quarantined requests to store, and handles those found in the store. */
	readonly suspects: Pick<SuspectEntriesContext, 'listQuarantined' | 'handleRecords'>;
	/** Handles the departures of backend servers found in the store. */
	readonly handleListedDepartures: DepartureEntriesContext['handleListed'];
	/** The rollouts of this node; `undefined` if the platform has none. */
	readonly rollouts: RolloutSyncContext | undefined;
	/** Called with each configuration that becomes active. */
	readonly handleConfigApplied: (active: ActiveConfig) => void;
};

/** The parts of rollouts that need the store. @internal */
export type RolloutSyncContext = Pick<RolloutEntriesContext, 'format' | 'listRecords' | 'handleRecords'> & {
	/** Decodes an order without its position. */
	readonly decodeOrder: (key: string, value: string) => Result<Omit<RolloutOrder, 'position'>, string>;
	readonly handleOrders: (orders: readonly RolloutOrder[]) => void;
};

/** @internal */
export type ConfigSync = {
	readonly holder: Pick<ConfigHolder, 'get' | 'getVersion'>;
	/** Describes this node's part in the distribution of the configuration, for its reports to other nodes. */
	readonly describeDuties: () => NodeDuties;
	/** Handles a report of another node. */
	readonly handleReport: (report: PeerReport) => void;
	/** Returns the answer for a node that has a given version of the configuration. */
	readonly getConfigAnswer: (version: number) => EncodedConfigAnswer;
	readonly isStoreReachable: () => boolean;
	/** Returns whether this node knows of a newer version than its active one. */
	readonly isConfigOutdated: () => boolean;
	/** Waits until the configuration is not outdated any more, at most `newerConfigWaitMs`. */
	readonly waitForNewerConfig: () => Promise<void>;
	/** Reads the store again and checks the registration. The active configuration stays active. */
	readonly resyncWithStore: () => void;
	/** Writes quarantined requests to the store. */
	readonly storeSuspects: SuspectEntries['write'];
	/** Publishes a crash to the other nodes through the store. */
	readonly publishCrash: CrashEntries['publish'];
	/** Writes the departure of the backend server beside this node to the store. */
	readonly publishDeparture: DepartureEntries['publish'];
	/** Returns whether departures of the backend server beside this node are not known to be in the store. */
	readonly hasUnstoredDepartures: DepartureEntries['hasUnwritten'];
	/** Stores the stage of a rollout. */
	readonly storeRollout: (record: RolloutRecord) => Promise<StoreOutcome>;
	readonly start: () => void;
	/** Removes this node's entry from the store. */
	readonly withdraw: () => Promise<void>;
	readonly dispose: () => void;
};

/** A node that has been stalled for this long reads the store itself: it may receive heartbeats of other nodes without being able to connect to them. This delay leaves enough of the time in which a change must become active for the read. */
const stalledReadAfterMs = 1000;

/** How long a request waits for a newer version of the configuration. Nearly all versions arrive within this time, and the wait takes only part of the shortest latency objective. */
const newerConfigWaitMs = 200;

/** Minimum interval between two resyncs with the store that are caused by reports of other nodes. */
const minResyncIntervalMs = 1000;

/** Delay before a loop that threw an unexpected exception runs again. */
const faultRetryMs = 1000;

function findCommonPrefix(left: string, right: string): string {
	let length = 0;
	while (length < left.length && left[length] === right[length]) {
		length++;
	}

	return left.slice(0, length);
}

/**
 * @param context - The store, the other nodes and the callbacks.
 * @returns The synchronization, not started yet.
 * @internal
 */
export function createConfigSync(context: ConfigSyncContext): ConfigSync {
	const {store, self, link, peerLimits, isInOwnDomain, log, random} = context;
	const disposed = new AbortController();

	/** Callbacks of requests that wait for the next version. */
	const configWaiters = new Set<() => void>();

	const holder = createConfigHolder((active, source) => {
		context.handleConfigApplied(active);
		for (const wakeWaiter of configWaiters) {
			wakeWaiter();
		}

		log.record('info', {
			kind: 'configuration-applied', version: active.config.version, from: source, routes: active.config.routes.length,
		});
		if (follower.isFollowing()) {
			// Nodes that do not watch the store learn of the new version from this announcement.
			link.announceToDomain();
		}
	});

	const health = createStoreHealth(log, () => {
		follower.resync();
	});

	/** Returns for how many milliseconds this node has not been known to have the newest configuration; `undefined` if its last call on the store failed. */
	const getUnconfirmedMs = (): number | undefined => {
		const now = readSteadyMs();
		const answerAgeMs = health.getLastAnswerAgeMs(now);
		return answerAgeMs === undefined ? undefined : Math.max(answerAgeMs, follower.getReceivingMs(now), newerConfigFetcher.getStalledMs(now));
	};

	const describeDuties = (): NodeDuties => ({
		linkMbps: context.linkMbps, isFollowing: follower.isFollowing(), storeSeenMs: getUnconfirmedMs(), storeEra: store.getEra() ?? noEra,
	});

	/** Yields the other live nodes of the failure domain. A generator, since the caller reads only a few of them. */
	function * listLiveDomainNodes(now: number): Generator<DomainNode> {
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

	/** Returns whether this node should watch the store, by the reports of the other nodes in its failure domain. */
	const shouldFollowStore = (): boolean => {
		const now = readSteadyMs();
		if (newerConfigFetcher.getStalledMs(now) > stalledReadAfterMs) {
			return true;
		}

		const self: DomainNode = {
			...describeDuties(), node: context.self, heardMsAgo: 0, periodMs: 0,
		};
		return isRelay(self, listLiveDomainNodes(now), link.table.countDomains());
	};

	/** Returns whether this node watches the store and no other one that does has a lower name. It alone writes what any relay could write; if there are two, both writes are harmless. */
	const isFirstRelay = (): boolean => follower.isFollowing() && [...link.table.list()].every(({report}) => !report.duties.isFollowing || report.isLeaving || report.node > self);

	/** Stores the records of orders that were just read, so that operators read soon that they are being carried out. */
	const storeOrdered = (orders: readonly RolloutOrder[]): void => {
		const services = new Set(orders.map(({service}) => service));
		for (const record of context.rollouts?.listRecords().filter(({service}) => services.has(service)) ?? []) {
			void rolloutEntries?.write(record);
		}
	};

	/** Decodes the orders among items of the store. Invalid ones are refused and change nothing. */
	const handleOrderItems = (items: readonly StoreItem[], {era}: StorePosition): void => {
		const {rollouts} = context;
		if (rollouts === undefined) {
			return;
		}

		const orders = items.filter(({key}) => key.startsWith(rollouts.format.orderPrefix)).flatMap(({key, value, revision}) => rollouts.decodeOrder(key, value).match(
			order => [{...order, position: {era, revision}}],
			problem => {
				context.refusals.record({
					kind: 'entry-refused', cause: 'unreadable', place: key, reason: problem,
				});
				return [];
			},
		));
		rollouts.handleOrders(orders);
		if (isFirstRelay()) {
			storeOrdered(orders);
		}
	};

	const copy = createConfigCopy({
		store, refusals: context.refusals, linkMbps: context.linkMbps, isWriter: isFirstRelay,
	});

	const orderPrefix = context.rollouts?.format.orderPrefix;
	const follower = createConfigFollower({
		store, health, holder, key: context.configKey, decode: context.decodeConfig, log, random, shouldFollow: shouldFollowStore,
		prefix: orderPrefix === undefined ? undefined : findCommonPrefix(context.configKey, orderPrefix),
		otherPrefix: orderPrefix,
		handleOtherItems: handleOrderItems,
		copy,
		getNewestKnownVersion: () => newerConfigFetcher.getNewestKnownVersion(),
		handleRead(startedAt) {
			newerConfigFetcher.recordStoreRead(startedAt);
		},
	});
	const suspects = createSuspectEntries({
		store, log, refusals: context.refusals, random, countPeers: () => link.table.size, ...context.suspects,
	});
	const crashes = createCrashEntries({
		store, log, refusals: context.refusals, handleRecords: context.suspects.handleRecords,
	});
	const departures = createDepartureEntries({
		store, log, refusals: context.refusals, handleListed: context.handleListedDepartures,
	});
	const rolloutEntries = context.rollouts === undefined
		? undefined
		: createRolloutEntries({
			store, log, refusals: context.refusals, random, countPeers: () => link.table.size, ...context.rollouts,
		});
	const registration = createRegistration({
		store, health, self, gossip: context.gossip, log, random, isFollowing: () => follower.isFollowing(), countPeers: () => link.table.size, countSilent: link.countSilent,
		isKnown: link.table.hasGossipAddress, refusals: context.refusals, handleAddresses: link.addSeedAddresses,
		handleOtherItems(items) {
			departures.reconcile(items.filter(({key}) => key.startsWith(departurePrefix)));
			crashes.reconcile(items.filter(({key}) => key.startsWith(crashPrefix)));
			suspects.reconcile(items.filter(({key}) => key.startsWith(suspectPrefix)));
			rolloutEntries?.reconcile(items.filter(({key}) => key.startsWith(rolloutPrefix)));
		},
	});

	/** Reads the store again and checks the registration: known revisions and leases may be invalid. The active configuration stays active. */
	const resyncWithStore = (): void => {
		follower.resync();
		registration.checkSoon();
	};

	store.watchEra(era => {
		log.record('warn', {kind: 'store-restored', era});
		crashes.handleRestored();
		departures.handleRestored();
		suspects.handleRestored();
		rolloutEntries?.handleRestored();
		resyncWithStore();
	});

	/** The era that another node last reported, and when this node last resynced with the store because of a reported era. */
	let lastReportedEra = noEra;
	let eraCheckedAt = Number.NEGATIVE_INFINITY;

	/** Resyncs with the store if another node reports a later era, since a watch that hangs does not notice that the store was restored. Only the store decides which era is current, so a node that reports a wrong era costs at most one resync per interval. */
	const checkReportedEra = (era: StoreEra): void => {
		const known = store.getEra();
		const now = readSteadyMs();
		if (known === undefined || era <= known || era === lastReportedEra || now - eraCheckedAt < minResyncIntervalMs) {
			return;
		}

		lastReportedEra = era;
		eraCheckedAt = now;
		resyncWithStore();
	};

	const newerConfigFetcher = createNewerConfigFetcher({
		getCurrent() {
			const active = holder.get();
			return active === undefined ? undefined : {version: active.config.version, text: active.text};
		},
		isWatchingStore: () => follower.isFollowing() && health.isReachable() && !follower.isBehind(),
		isInOwnDomain,
		fetchConfig: context.fetchConfig,
		applyText: follower.applyText,
		handleUnusableAnswer(report, reason) {
			log.record('warn', {
				kind: 'configuration-refused', version: report.version, from: report.node, reason,
			});
		},
		handleNewVersion({node, version}) {
			log.record('info', {
				kind: 'configuration-heard', version, from: node, held: holder.getVersion(),
			});
		},
		handleFetchFailed({node, version}, {type, reason}, tookMs) {
			log.record('info', {
				kind: 'configuration-not-fetched', version, from: node, held: holder.getVersion(), outcome: type, reason, tookMs: Math.round(tookMs),
			});
		},
	});

	const waitForNewerConfig = async (): Promise<void> => {
		const endsAt = readSteadyMs() + newerConfigWaitMs;
		for (let now = readSteadyMs(); newerConfigFetcher.isOutdated() && now < endsAt; now = readSteadyMs()) {
			const applied = new AbortController();
			const wakeWaiter = (): void => {
				applied.abort();
			};

			configWaiters.add(wakeWaiter);
			await waitFor(endsAt - now, applied.signal);
			configWaiters.delete(wakeWaiter);
		}
	};

	const recordFault = (error: unknown): void => {
		log.record('error', {kind: 'node-failed', reason: (error as Error).stack ?? String(error)});
	};

	/** Runs a loop again after an unexpected exception, which must neither terminate the node nor stop its synchronization with the store. */
	const retryOnFault = async (run: () => Promise<void>): Promise<void> => {
		while (!disposed.signal.aborted) {
			try {
				await run();
				return;
			} catch (error) {
				recordFault(error);
				await waitFor(faultRetryMs, disposed.signal);
			}
		}
	};

	let watchResyncedAt = Number.NEGATIVE_INFINITY;

	/** Resyncs with the store if this node watches it and is still stalled: its watch may hang, or other nodes may report a version that does not exist. */
	const checkStoreWatch = (): void => {
		const now = readSteadyMs();
		if (follower.isFollowing() && newerConfigFetcher.getStalledMs(now) > stalledReadAfterMs && now - watchResyncedAt >= minResyncIntervalMs) {
			watchResyncedAt = now;
			follower.resync();
		}
	};

	const handleReport = async (report: PeerReport): Promise<void> => {
		try {
			await newerConfigFetcher.handleReport(report);
		} catch (error) {
			recordFault(error);
		}
	};

	return {
		holder,
		describeDuties,
		handleReport(report) {
			checkReportedEra(report.duties.storeEra);
			// Most reports name the active version and need no work.
			if (report.version > holder.getVersion()) {
				checkStoreWatch();
				void handleReport(report);
			}
		},
		getConfigAnswer: createConfigAnswerCache(holder),
		isStoreReachable: health.isReachable,
		isConfigOutdated: newerConfigFetcher.isOutdated,
		waitForNewerConfig,
		resyncWithStore,
		storeSuspects: suspects.write,
		publishCrash: crashes.publish,
		publishDeparture: departures.publish,
		hasUnstoredDepartures: departures.hasUnwritten,
		storeRollout: async record => rolloutEntries === undefined ? 'unavailable' : rolloutEntries.write(record),
		start() {
			void retryOnFault(follower.run);
			void retryOnFault(registration.run);
		},
		withdraw: registration.withdraw,
		dispose() {
			disposed.abort();
			registration.dispose();
			follower.dispose();
			copy.dispose();
			store.dispose();
		},
	};
}
