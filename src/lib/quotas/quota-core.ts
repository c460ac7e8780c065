/**
 * The decisions of one node about quotas, as an entry and as a coordinator, without
 * timers and connections.
 *
 * @module
 */
import {type NodeId} from '../common/ids.js';
import {createQuotaClient, type QuotaClient} from './quota-client.js';
import {createQuotaLedger, type QuotaLedger} from './quota-ledger.js';
import {type QuotaAnswer, type QuotaAsk} from './quota-messages.js';
import {createQuotaNodes, type QuotaNodes} from './quota-nodes.js';
import {type QuotaPlan} from './quota-plan.js';

/** @internal */
export type QuotaCore = {
	readonly nodes: QuotaNodes;
	readonly client: QuotaClient;
	readonly ledger: Pick<QuotaLedger, 'countTokens'>;
	readonly applyPlans: (plans: ReadonlyMap<string, QuotaPlan>, now: number) => void;
	/** Answers an ask as a coordinator. */
	readonly answer: (ask: QuotaAsk, now: number) => QuotaAnswer;
};

/**
 * @param self - This node.
 * @param run - Random id of this run of the process.
 * @param startedAt - When this process started, in steady milliseconds.
 * @param countWaiting - Returns the number of requests of a workspace that wait for a token.
 * @returns The decisions of a node that knows no quotas and no other nodes.
 * @internal
 */
export function createQuotaCore(self: NodeId, run: string, startedAt: number, countWaiting: (workspace: string) => number): QuotaCore {
	const nodes = createQuotaNodes(self);
	const client = createQuotaClient(self, nodes, startedAt, countWaiting);
	const ledger = createQuotaLedger(run, {
		countNodes: nodes.count, isSettled: nodes.isSettled, countKnown: nodes.countKnown, listNodes: nodes.list,
	});
	return {
		nodes,
		client,
		ledger,
		applyPlans(plans, now) {
			ledger.applyPlans(plans, now);
			client.applyPlans(plans);
		},
		answer(ask, now) {
			nodes.noteKnown(ask.asker, ask.known, now);
			return ledger.handleAsk(ask, now);
		},
	};
}
