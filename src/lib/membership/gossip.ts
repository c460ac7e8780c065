/**
 * Sends and receives heartbeats over UDP. They carry the messages of the
 * failure detector. Each message also contains the digests that the anti-entropy
 * check of configuration and directory compares.
 *
 * @module
 */
import {type RemoteInfo} from 'node:dgram';
import {
	create, fromBinary, toBinary, type MessageInitShape,
} from '@bufbuild/protobuf';
import {type ByteMeter} from '../common/byte-meter.js';
import {formatAddress, parseAddress} from '../common/address.js';
import {assertNever} from '../common/assert-never.js';
import {readNow} from '../common/clock.js';
import {shuffleList} from '../common/shuffle-list.js';
import {
	toNodeId, type Address, type FailureDomain, type NodeId,
} from '../common/ids.js';
import {getRecord, listDomainRecords} from '../directory/directory.js';
import {type Network} from '../common/network.js';
import {type DirectoryKeeper} from '../directory/directory-keeper.js';
import {type NodeRecord} from '../directory/node-record.js';
import {type ConfigurationKeeper} from '../distribution/configuration-keeper.js';
import {type Distributor} from '../distribution/distributor.js';
import {type ReportedDrains} from '../distribution/reported-drains.js';
import {type ReportedVersions} from '../distribution/reported-versions.js';
import {type StatusCollector} from '../distribution/status-collector.js';
import {createAntiEntropy} from '../distribution/anti-entropy.js';
import {createSummarySender} from '../distribution/summary-sender.js';
import {
	decodeRecords, decodeSummary, encodeRecord, encodeSummary,
} from '../distribution/wire.js';
import {GossipSchema, type Gossip as GossipMessage} from '../generated/stonemoor/v1/node_pb.js';
import {type Quarantine} from '../quarantine/quarantine.js';
import {decodeSuspect, encodeSuspect} from '../quarantine/suspect-record.js';
import {type LamportClock} from '../timeline/lamport-clock.js';
import {type Timeline} from '../timeline/timeline.js';
import {
	createDetectorState, stepDetector,
	type DetectorEffect, type DetectorEvent, type DetectorSettings, type DetectorState,
} from './failure-detector.js';
import {type MemberList} from './member-list.js';

/** @internal */
export type Gossip = {
	/** Binds the UDP socket. Returns its port. */
	readonly listen: (host: string, port: number) => Promise<number>;
	readonly start: () => void;
	/** Updates the suspects of the failure detector from changed records. */
	readonly handleRecords: (records: readonly NodeRecord[]) => void;
	/** Pings some members immediately, with data that must not wait for the next heartbeats. These members forward it with their own heartbeats. */
	readonly sendUrgentPings: () => void;
	readonly dispose: () => Promise<void>;
};

/** @internal */
export type GossipContext = {
	readonly settings: DetectorSettings;
	readonly self: NodeId;
	readonly domain: FailureDomain;
	readonly configuration: ConfigurationKeeper;
	readonly directory: DirectoryKeeper;
	readonly members: MemberList;
	readonly distributor: Distributor;
	readonly status: StatusCollector;
	readonly reported: ReportedVersions;
	readonly reportedDrains: Pick<ReportedDrains, 'prune'>;
	readonly clock: LamportClock;
	readonly timeline: Timeline;
	readonly meter: ByteMeter;
	readonly network: Network;
	readonly random: () => number;
	/** Each datagram carries a bounded batch of the requests that are suspected of crashing backend servers. */
	readonly quarantine: Pick<Quarantine, 'listBatch' | 'merge'>;
};

type MessageKind = MessageInitShape<typeof GossipSchema>['kind'];

/** Ticks of the failure detector per period. */
const ticksPerPeriod = 5;

/** Periods between two pings to members that were declared dead. */
const deadMemberRetryPeriods = 3;

/** Sequence number of messages that the failure detector does not track, such as pings to other failure domains. */
const untrackedSequenceNumber = 0;

/** Maximum number of members that are pinged for urgent data. Each of them forwards it to one more member per period. */
const maximumUrgentPings = 30;

/** A ping sent on behalf of another member (`origin`), which gets the result when the ack arrives. */
type ForwardedPing = {readonly origin: NodeId; readonly sequenceNumber: number; readonly sentAt: number};

/**
 * Creates the gossip of a node: its UDP socket, timers and failure detector.
 *
 * @param context - The settings and the parts of the node that it uses.
 * @returns The gossip, not listening and not started.
 * @internal
 */
export function createGossip(context: GossipContext): Gossip {
	const {
		settings, self, domain, directory, members, distributor, status, reported, reportedDrains, clock, meter, random,
	} = context;
	const socket = context.network.createDatagramSocket(parseAddress(directory.getOwnRecord().gossipAddress).host);
	let detector: DetectorState = createDetectorState(readNow());
	const check = createAntiEntropy({
		periodMs: settings.periodMs, configuration: context.configuration, directory, distributor, status, timeline: context.timeline,
	});
	const summaries = createSummarySender(status, distributor);
	const forwardedPings = new Map<string, ForwardedPing>();
	let lastOtherDomainPingAt = 0;
	let lastDeadRetryAt = 0;
	let lastCleanupAt = 0;
	const timers: NodeJS.Timeout[] = [];
	/** Whether the socket is closed. The end of a backend server may trigger urgent pings after this node has stopped. */
	let isClosed = false;

	const findGossipAddress = (id: NodeId): Address | undefined => getRecord(directory.getDirectory(), id)?.gossipAddress;

	const sendTo = (address: Address, kind: MessageKind, sequenceNumber: number, records: readonly NodeRecord[] = []): void => {
		const message = create(GossipSchema, {
			...check.getStateDigest(),
			eventTime: BigInt(clock.getTime()),
			from: self,
			epoch: BigInt(directory.getOwnRecord().epoch),
			sequenceNumber,
			records: records.map(record => encodeRecord(record)),
			suspects: context.quarantine.listBatch().map(suspect => JSON.stringify(encodeSuspect(suspect))),
			kind,
		});
		if (isClosed) {
			return;
		}

		const bytes = toBinary(GossipSchema, message);
		const {host, port} = parseAddress(address);
		meter.count({sent: bytes.length, received: 0});
		socket.send(bytes, port, host, () => undefined);
	};

	const send = (target: NodeId, kind: MessageKind, sequenceNumber: number, records: readonly NodeRecord[] = []): void => {
		const address = findGossipAddress(target);
		if (address !== undefined) {
			sendTo(address, kind, sequenceNumber, records);
		}
	};

	/** Returns the record of a target that is not recorded as alive. Sending it to the target allows the target to refute it. */
	const listSuspicion = (target: NodeId): readonly NodeRecord[] => {
		const record = getRecord(directory.getDirectory(), target);
		return record === undefined || record.status === 'alive' ? [] : [record];
	};

	const handleEffect = (effect: DetectorEffect): void => {
		switch (effect.type) {
			case 'ping': {
				send(effect.target, {case: 'ping', value: {}}, effect.sequenceNumber, listSuspicion(effect.target));
				return;
			}

			case 'ping-request': {
				send(effect.through, {case: 'pingRequest', value: {target: effect.target}}, effect.sequenceNumber);
				return;
			}

			case 'suspect': {
				directory.markStatus(effect.member, 'suspect');
				return;
			}

			case 'dead': {
				directory.markStatus(effect.member, 'dead');
				return;
			}

			default: {
				assertNever(effect);
			}
		}
	};

	const step = (event: DetectorEvent): void => {
		const next = stepDetector(detector, event, settings, random);
		detector = next.state;
		for (const effect of next.effects) {
			handleEffect(effect);
		}
	};

	const handlePingRequest = (target: NodeId, origin: NodeId, sequenceNumber: number): void => {
		forwardedPings.set(`${target} ${sequenceNumber}`, {origin, sequenceNumber, sentAt: readNow()});
		send(target, {case: 'ping', value: {}}, sequenceNumber, listSuspicion(target));
	};

	const handleAck = (message: GossipMessage, from: NodeId): void => {
		step({type: 'ack', from, sequenceNumber: message.sequenceNumber});
		const key = `${from} ${message.sequenceNumber}`;
		const waiting = forwardedPings.get(key);
		if (waiting !== undefined) {
			forwardedPings.delete(key);
			const record = getRecord(directory.getDirectory(), from);
			send(waiting.origin, {case: 'pingRequest', value: {target: ''}}, waiting.sequenceNumber, record === undefined ? [] : [record]);
		}
	};

	/** Handles the ack of an indirect probe, forwarded by the member that sent the ping. Its record identifies the member that answered. */
	const handleIndirectAck = (message: GossipMessage): void => {
		const target = message.records[0]?.id;
		if (target !== undefined) {
			step({type: 'ack', from: toNodeId(target), sequenceNumber: message.sequenceNumber});
		}
	};

	const handleMessage = (message: GossipMessage, remote: RemoteInfo): void => {
		const from = toNodeId(message.from);
		clock.witness(Number(message.eventTime));
		reported.record(from, message.version);
		decodeRecords(message.records).andTee(records => {
			directory.merge(records, {type: 'push', from});
		});
		context.quarantine.merge(message.suspects.map(text => decodeSuspect(JSON.parse(text), 'suspects')), from);
		const {kind} = message;
		switch (kind.case) {
			case 'ping': {
				sendTo(findGossipAddress(from) ?? formatAddress({host: remote.address, port: remote.port}), {case: 'ack', value: {}}, message.sequenceNumber);
				break;
			}

			case 'ack': {
				handleAck(message, from);
				break;
			}

			case 'pingRequest': {
				if (kind.value.target === '') {
					handleIndirectAck(message);
				} else {
					handlePingRequest(toNodeId(kind.value.target), from, message.sequenceNumber);
				}

				break;
			}

			case 'summary': {
				status.record(from, decodeSummary(kind.value));
				break;
			}

			case undefined: {
				return;
			}

			default: {
				assertNever(kind);
			}
		}

		check.compare(message, from);
	};

	const pingOtherDomain = (now: number): void => {
		if (now - lastOtherDomainPingAt < settings.periodMs || !distributor.isRelay()) {
			return;
		}

		lastOtherDomainPingAt = now;
		const relays = distributor.listOtherDomainWatchers();
		const chosen = relays[Math.floor(random() * relays.length)];
		if (chosen !== undefined) {
			sendTo(chosen.gossipAddress, {case: 'ping', value: {}}, untrackedSequenceNumber);
		}
	};

	/** Pings one dead member. After a network partition both sides consider each other dead, and would never reconnect without this. */
	const retryDeadMember = (now: number): void => {
		if (now - lastDeadRetryAt < settings.periodMs * deadMemberRetryPeriods) {
			return;
		}

		lastDeadRetryAt = now;
		const dead = listDomainRecords(directory.getDirectory(), domain).filter(record => record.status === 'dead');
		const chosen = dead[Math.floor(random() * dead.length)];
		if (chosen !== undefined) {
			sendTo(chosen.gossipAddress, {case: 'ping', value: {}}, untrackedSequenceNumber, [chosen]);
		}
	};

	const sendSummary = (now: number): void => {
		const due = summaries.takeDue(now);
		if (due === undefined) {
			return;
		}

		for (const target of due.targets) {
			send(target, {case: 'summary', value: encodeSummary(due.summary)}, untrackedSequenceNumber);
		}
	};

	const tick = (): void => {
		const now = readNow();
		// This node does not probe itself.
		const probeTargets = members.listProbeTargets(domain).filter(member => member !== self);
		step({type: 'tick', now, members: probeTargets});
		pingOtherDomain(now);
		retryDeadMember(now);
		sendSummary(now);
		if (now - lastCleanupAt > settings.periodMs * 10) {
			lastCleanupAt = now;
			reported.prune();
			reportedDrains.prune();
			directory.removeOldTombstones();
			for (const [key, waiting] of forwardedPings) {
				if (now - waiting.sentAt > settings.periodMs) {
					forwardedPings.delete(key);
				}
			}
		}
	};

	socket.on('message', (bytes, remote) => {
		meter.count({sent: 0, received: bytes.length});
		try {
			handleMessage(fromBinary(GossipSchema, bytes), remote);
		} catch {
			// Any process can send a datagram to this port. One that cannot be decoded is dropped.
		}
	});
	socket.on('error', () => undefined);

	return {
		listen: async (host, port) => new Promise((resolve, reject) => {
			socket.once('error', reject);
			socket.bind(port, host, () => {
				socket.off('error', reject);
				resolve(socket.address().port);
			});
		}),
		start() {
			timers.push(setInterval(tick, settings.periodMs / ticksPerPeriod));
		},
		handleRecords(records) {
			for (const record of records) {
				if (record.failureDomain === domain && record.status === 'suspect') {
					step({type: 'suspected', member: record.id, now: readNow()});
				} else if (record.status === 'alive') {
					step({type: 'refuted', member: record.id});
				}
			}
		},
		sendUrgentPings() {
			const others = shuffleList(members.listProbeTargets(domain).filter(member => member !== self), random).slice(0, maximumUrgentPings);
			for (const member of others) {
				send(member, {case: 'ping', value: {}}, untrackedSequenceNumber);
			}

			for (const {gossipAddress} of distributor.listOtherDomainWatchers()) {
				sendTo(gossipAddress, {case: 'ping', value: {}}, untrackedSequenceNumber);
			}
		},
		async dispose() {
			isClosed = true;
			for (const timer of timers) {
				clearInterval(timer);
			}

			await new Promise<void>(resolve => {
				socket.close(() => {
					resolve();
				});
			});
		},
	};
}
