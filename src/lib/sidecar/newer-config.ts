/**
 * Fetches a configuration from another node that has a newer one. Its word is
 * as good as the store's, since versions only grow.
 *
 * @module
 */
import {readSteadyMs, waitFor} from '../common/clock.js';
import {createCallScope} from '../forwarding/call-scope.js';
import {type GateClient} from '../forwarding/gate-client.js';
import {type PeerReport} from '../peers/peer-report.js';

/** @internal */
export type NewerConfigContext = {
	readonly getVersion: () => number;
	readonly isStoreReachable: () => boolean;
	readonly fetchConfig: GateClient['fetchConfig'];
	readonly adoptText: (text: string, source: string) => void;
};

/** How long a node that reaches the store waits for its own watch before it asks another node. Milliseconds. */
const ownWatchMs = 600;

/** How long another node may take to hand over its configuration. Milliseconds. */
const fetchMs = 500;

/**
 * @param context - The version in force and where a newer one goes.
 * @returns What is to be told of each report of another node.
 * @internal
 */
export function createNewerConfigFetcher(context: NewerConfigContext): (report: PeerReport) => Promise<void> {
	const {getVersion, isStoreReachable, fetchConfig, adoptText} = context;
	let isFetching = false;

	const fetchFrom = async (report: PeerReport): Promise<void> => {
		// The own watch is likely to have it in a moment.
		await waitFor(isStoreReachable() ? ownWatchMs : 0);
		if (report.version <= getVersion()) {
			return;
		}

		const scope = createCallScope(readSteadyMs() + fetchMs);
		const text = await fetchConfig(report.gate, scope);
		scope.dispose();
		if (text !== undefined) {
			adoptText(text, report.node);
		}
	};

	return async report => {
		if (isFetching || report.version <= getVersion()) {
			return;
		}

		isFetching = true;
		try {
			await fetchFrom(report);
		} finally {
			isFetching = false;
		}
	};
}
