/**
 * Applies configurations from the store and from other nodes: decodes them, and rejects those that are invalid or older than the active one.
 *
 * @module
 */
import {type Result} from 'neverthrow';
import {type ConfigStep} from '../route-config/config-history.js';
import {type ConfigHolder} from '../route-config/config-holder.js';
import {type RouteConfig} from '../route-config/route-config.js';
import {type MeshLog} from '../timeline/mesh-log.js';

/** @internal */
export type ConfigApplierContext = {
	readonly holder: ConfigHolder;
	readonly decode: (text: string) => Result<RouteConfig, string>;
	readonly log: MeshLog;
};

/** Applies a configuration if it is valid and newer than the active one. Returns the version of the text, also if it is not newer; `undefined` if it is not valid. @internal */
export type ApplyConfig = (text: string, source: string, steps?: readonly ConfigStep[]) => number | undefined;

/** Maximum number of warnings logged per configuration. Routes of an unsupported type usually come in groups, and the first warnings show what is unsupported. */
const maxLoggedWarningCount = 5;

/**
 * @param context - The holder of the configuration, the format and the log.
 * @returns A function that applies a configuration.
 * @internal
 */
export function createConfigApplier({holder, decode, log}: ConfigApplierContext): ApplyConfig {
	let rejectedText: string | undefined;
	let loggedWarnings: ReadonlySet<string> = new Set();

	/** Logs the warnings that the previous configuration did not have. */
	const reportWarnings = ({version, warnings}: RouteConfig): void => {
		for (const reason of warnings.filter(warning => !loggedWarnings.has(warning)).slice(0, maxLoggedWarningCount)) {
			log.record('warn', {
				kind: 'configuration-unknown', version, reason, count: warnings.length,
			});
		}

		loggedWarnings = new Set(warnings);
	};

	return (text, source, steps) => {
		if (text === rejectedText) {
			return undefined;
		}

		if (text === holder.get()?.text) {
			return holder.getVersion();
		}

		const decoded = decode(text);
		if (decoded.isErr()) {
			// Logged once per text. The node keeps its active configuration.
			rejectedText = text;
			log.record('error', {
				kind: 'configuration-refused', version: holder.getVersion(), from: source, reason: decoded.error,
			});
			return undefined;
		}

		const {version} = decoded.value;
		if (version < holder.getVersion()) {
			log.record('warn', {
				kind: 'configuration-refused', version, from: source, reason: `version ${holder.getVersion()} is in force; older versions are rejected`,
			});
			return version;
		}

		const isApplied = holder.applyIfNewer({
			config: decoded.value, text, source, ...steps === undefined ? {} : {steps},
		});
		if (isApplied) {
			reportWarnings(decoded.value);
		}

		return version;
	};
}
