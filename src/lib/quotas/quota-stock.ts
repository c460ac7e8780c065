/**
 * The tokens that an entry holds of one workspace, and its forecast of how many it
 * needs.
 *
 * The load it answers: requests arrive evenly or in bursts, and each round trip to the
 * coordinator takes longer than most callers' objectives leave. So the entry asks
 * ahead while the quota has room, and asks for what it is sure to use when it has not.
 *
 * @module
 */
import {type QuotaGrant} from './quota-messages.js';
import {type QuotaPlan} from './quota-plan.js';

/** @internal */
export type QuotaStock = {
	readonly setPlan: (plan: QuotaPlan) => void;
	readonly recordDemand: (now: number) => void;
	/** Takes one token; returns when it expires, in steady milliseconds, or `undefined` if there is none. */
	readonly take: (now: number) => number | undefined;
	/** Returns a token that was taken and not used. */
	readonly giveBack: (expiresAt: number, now: number) => void;
	/** Returns how many tokens to ask for now, in addition to those for waiting requests; 0 if there is no need yet. */
	readonly countNeeded: (now: number) => number;
	/** Like `countNeeded`, for an ask that is sent in any case. */
	readonly countUseful: (now: number) => number;
	/** Takes over the answer to an ask for `wanted` tokens that was sent at a time. */
	readonly add: (wanted: number, grant: QuotaGrant, sentAt: number, now: number) => void;
	/** Returns for how long no ask would be answered with tokens, in milliseconds; 0 if one may. */
	readonly getDryMs: (now: number) => number;
	/** Records a request that was refused, and returns after how many milliseconds its caller may retry. */
	readonly recordRefusal: (now: number, random: () => number) => number;
};

/** Tokens of one answer. */
type Lot = {tokens: number; readonly expiresAt: number};

/** Time constant of the average of demand, in milliseconds: half of the time to live of tokens, so that a forecast does not outlive them. */
const demandDecayMs = 500;

/** Tokens that expire within this time are replaced ahead, in milliseconds: two ticks and a round trip on a busy VM. */
const leadMs = 200;

/** While there are many tokens, the least number of expected requests for which one is asked ahead. */
const minPlentyForecast = 0.2;

/** Time constant of the count of refused callers, in milliseconds. */
const refusalDecayMs = 1000;

/** Longest spread of the retries of refused callers, in milliseconds. */
const maxSpreadMs = 5000;

const computeDecayed = (value: number, elapsedMs: number, decayMs: number): number => value * Math.exp(-Math.max(0, elapsedMs) / decayMs);

/**
 * @param initialPlan - How the quota is handed out.
 * @returns A stock without tokens.
 * @internal
 */
export function createQuotaStock(initialPlan: QuotaPlan): QuotaStock {
	let plan = initialPlan;
	let lots: Lot[] = [];
	let demandPerMs = 0;
	let demandAt = 0;
	let dryUntil = 0;
	let isPlenty = false;
	let refused = 0;
	let refusedAt = 0;

	const dropExpired = (now: number): void => {
		if (lots.some(({tokens, expiresAt}) => tokens === 0 || expiresAt <= now)) {
			lots = lots.filter(({tokens, expiresAt}) => tokens > 0 && expiresAt > now);
		}
	};

	const countUsable = (at: number): number => {
		let usable = 0;
		for (const {tokens, expiresAt} of lots) {
			usable += expiresAt > at ? tokens : 0;
		}

		return usable;
	};

	const estimateDemandPerMs = (now: number): number => computeDecayed(demandPerMs, now - demandAt, demandDecayMs);

	const countUseful = (now: number): number => {
		const demand = estimateDemandPerMs(now);
		const forecast = demand * plan.ttlMs;
		if (isPlenty) {
			return forecast < minPlentyForecast ? 0 : Math.max(0, Math.ceil(forecast + Math.sqrt(forecast)) - countUsable(now));
		}

		// Fewer requests than this come in about one of six times. Part of the spread is that of the average itself.
		const sure = forecast - Math.sqrt(forecast * (1 + (plan.ttlMs / (2 * demandDecayMs))));
		return Math.max(0, Math.floor(sure) - countUsable(now));
	};

	const insert = (tokens: number, expiresAt: number): void => {
		// Tokens are taken from the front, where the earliest to expire are.
		const index = lots.findIndex(lot => lot.expiresAt > expiresAt);
		lots.splice(index === -1 ? lots.length : index, 0, {tokens, expiresAt});
	};

	return {
		setPlan(changed) {
			plan = changed;
		},
		recordDemand(now) {
			demandPerMs = estimateDemandPerMs(now) + (1 / demandDecayMs);
			demandAt = now;
		},
		take(now) {
			for (const lot of lots) {
				if (lot.tokens > 0 && lot.expiresAt > now) {
					lot.tokens--;
					return lot.expiresAt;
				}
			}

			return undefined;
		},
		giveBack(expiresAt, now) {
			if (expiresAt <= now) {
				return;
			}

			const lot = lots.find(candidate => candidate.expiresAt === expiresAt);
			if (lot === undefined) {
				insert(1, expiresAt);
			} else {
				lot.tokens++;
			}
		},
		countNeeded(now) {
			if (now < dryUntil) {
				return 0;
			}

			const soonPerMs = estimateDemandPerMs(now);
			return countUsable(now + leadMs) >= Math.max(isPlenty ? 1 : 0, soonPerMs * leadMs) ? 0 : countUseful(now);
		},
		countUseful: now => now < dryUntil ? 0 : countUseful(now),
		add(wanted, grant, sentAt, now) {
			dropExpired(now);
			const expiresAt = sentAt + plan.ttlMs;
			if (grant.tokens > 0 && expiresAt > now) {
				insert(grant.tokens, expiresAt);
			}

			({isPlenty} = grant);
			dryUntil = grant.tokens < wanted && grant.retryMs !== undefined ? now + grant.retryMs : 0;
		},
		getDryMs: now => Math.max(0, dryUntil - now),
		recordRefusal(now, random) {
			refused = computeDecayed(refused, now - refusedAt, refusalDecayMs) + 1;
			refusedAt = now;
			// The callers refused lately cannot all be served by the next token.
			const spreadMs = Math.min(maxSpreadMs, plan.ratePerMs === 0 ? maxSpreadMs : refused / plan.ratePerMs);
			return Math.max(0, dryUntil - now) + (random() * spreadMs);
		},
	};
}
