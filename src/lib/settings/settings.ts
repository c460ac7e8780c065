/**
 * The schema of a node's settings, with all defaults.
 *
 * @module
 */
import {z} from 'zod';
import {isAddress} from '../common/address.js';
import {defaultMachineLimits} from '../memory/memory-limits.js';
import {type Address, type FailureDomain, type NodeId} from '../common/ids.js';

const idPattern = /^[\w.-]{1,60}$/;
const idMessage = 'must be 1 to 60 letters, digits, ".", "_" or "-"';
const nodeIdSchema = z.string().regex(idPattern, idMessage) as unknown as z.ZodType<NodeId>;
const failureDomainSchema = z.string().regex(idPattern, idMessage) as unknown as z.ZodType<FailureDomain>;
const addressSchema = z.string().refine(isAddress, 'must be an IP address and a port, as in 127.0.0.1:7001') as unknown as z.ZodType<Address>;

const storeSchema = z.strictObject({
	address: addressSchema,
	timeoutMs: z.int().min(10).max(60_000).default(2000),
	callsPerSecond: z.number().min(0.01).max(10_000).default(20),
	burst: z.int().min(1).max(10_000).default(60),
}).readonly();

const listenSchema = z.strictObject({
	callers: addressSchema,
	gate: addressSchema,
	control: addressSchema,
	gossip: addressSchema,
	operators: addressSchema,
	announcements: addressSchema,
}).readonly();

const distributionSchema = z.strictObject({
	fanOut: z.int().min(1).max(64).default(8),
	batchWindowMs: z.int().min(0).max(10_000).default(50),
}).readonly();

const membershipSchema = z.strictObject({
	periodMs: z.int().min(50).max(60_000).default(1000),
	ackTimeoutMs: z.int().min(10).max(30_000).default(400),
	indirectProbes: z.int().min(0).max(10).default(3),
	suspicionMs: z.int().min(100).max(120_000).default(4000),
}).readonly();

const admissionSchema = z.strictObject({
	queuePerSlot: z.number().min(0).max(100).default(2),
	maximumWaitMs: z.int().min(0).max(60_000).default(500),
	targetWaitMs: z.int().min(0).max(60_000).default(50),
	bulkShare: z.number().min(0.01).max(1).default(0.5),
	announcementLifeMs: z.int().min(100).max(600_000).default(6000),
}).readonly();

const callsSchema = z.strictObject({
	bufferedBodyBytes: z.int().min(0).max(16_777_216).default(65_536),
	retryShare: z.number().min(0).max(1).default(0.2),
	retryBurst: z.int().min(0).max(10_000).default(20),
	ejectionMs: z.int().min(0).max(600_000).default(3000),
	drainMs: z.int().min(0).max(3_600_000).default(30_000),
}).readonly();

const machineSchema = z.strictObject({
	memoryMb: z.int().min(128).max(1_000_000).default(defaultMachineLimits.memoryMb),
	maxFds: z.int().min(256).max(10_000_000).default(defaultMachineLimits.maxFds),
}).readonly();

/** Schema of a node's settings. @public */
export const settingsSchema = z.strictObject({
	node: nodeIdSchema,
	failureDomain: failureDomainSchema,
	listen: listenSchema,
	store: storeSchema,
	seeds: z.array(addressSchema).max(100).readonly().default([]),
	distribution: distributionSchema.prefault({}),
	membership: membershipSchema.prefault({}),
	admission: admissionSchema.prefault({}),
	calls: callsSchema.prefault({}),
	machine: machineSchema.prefault({}),
	logLevel: z.enum(['trace', 'debug', 'info', 'warn', 'error']).default('info'),
}).readonly();

/** The settings of a node. @public */
export type Settings = z.infer<typeof settingsSchema>;

/** @public */
export type AdmissionSettings = Settings['admission'];

/** @public */
export type CallSettings = Settings['calls'];
