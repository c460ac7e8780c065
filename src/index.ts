/**
 * Stonemoor: configuration distribution and request routing for a service mesh.
 *
 * @module
 */
export {
	toAddress, toBackendServerId, toCallId, toDigest, toFailureDomain, toNodeId, toSubmissionId,
	type Address, type BackendServerId, type CallId, type Digest, type FailureDomain, type NodeId, type SubmissionId,
} from './lib/common/ids.js';
export {type Verdict, verdicts} from './lib/common/verdict.js';
export {createSystemNetwork, type Network} from './lib/common/network.js';
export {type ByteCounts} from './lib/common/byte-meter.js';
export {
	applyDelta, createConfiguration, getItem, listItems,
	type AcceptedSubmission, type ApplyError, type Configuration, type Delta,
} from './lib/configuration/configuration.js';
export {type ConfiguredItem, type ItemChange} from './lib/configuration/configured-item.js';
export {findMissingReferences} from './lib/configuration/find-missing-references.js';
export {type DanglingReference} from './lib/configuration/find-dangling-references.js';
export {findItemProblems} from './lib/configuration/evaluate-submission.js';
export {
	formatItemKey, isItemKey, itemSchema, policySchema, poolSchema, routeSchema,
	type Item, type ItemKey, type ItemKind, type Policy, type Pool, type Route,
} from './lib/configuration/item.js';
export {parseConfigurationDocument} from './lib/configuration/parse-document.js';
export {formatProblem, type Problem} from './lib/configuration/problem.js';
export {
	submissionSchema, type ItemConflict, type Submission, type SubmissionOutcome,
} from './lib/configuration/submission.js';
export {compilePolicy, type CompiledPolicy, type PolicyProblem} from './lib/policy/compile-policy.js';
export {
	decisionSchema, type Decision, type ForwardDecision, type WorkClass,
} from './lib/policy/decision.js';
export {type RequestAttributes} from './lib/policy/request-attributes.js';
export {
	createGate, type Gate, type GateRefusal, type Slot, type SlotRequest,
} from './lib/admission/gate.js';
export {timeoutHeader} from './lib/calls/headers.js';
export {type BackendServer, type NodeRecord, type NodeStatus} from './lib/directory/node-record.js';
export {type Laggard, type Summary} from './lib/distribution/summary.js';
export {createNode, type Node, type NodeOptions} from './lib/node/node.js';
export {formatStartError, type StartError} from './lib/node/start-error.js';
export {
	findConvergenceProblems,
	type ConfigurationResponse, type DomainStatus, type ExplainResponse, type FleetResponse, type OperatorEndpoint, type NodeStatusResponse, type ServerStatus,
} from './lib/operators/operator-messages.js';
export {formatSettingsProblem, parseSettings, type SettingsProblem} from './lib/settings/load-settings.js';
export {
	settingsSchema, type AdmissionSettings, type CallSettings, type Settings,
} from './lib/settings/settings.js';
export {createBudgetedStore, type BudgetedStore, type StoreCounts} from './lib/store/budgeted-store.js';
export {createHttpStore, type DisposableStore, type HttpStoreSettings} from './lib/store/http-store.js';
export {
	maximumValueBytes, type Store, type StoredValue, type StoreError, type StoreReadError, type StoreWatch, type StoreWrite,
} from './lib/store/store.js';
export {
	explainCall, parseLogLine, type CallExplanation, type LogLine,
} from './lib/timeline/explain-call.js';
export {explainRollouts, type RolloutExplanation, type RolloutStageExplanation} from './lib/timeline/explain-rollouts.js';
export {
	explainWorkspaces, type MetricsReadings, type WorkspaceExplanation, type WorkspacesExplanation,
} from './lib/workspaces/explain-workspaces.js';
export {explainVersion, type VersionAtNode, type VersionExplanation} from './lib/timeline/explain-version.js';
export {
	formatEvent, matchesFilter, sortEvents,
	type EventDetail, type EventKind, type TimelineEvent, type TimelineFilter,
} from './lib/timeline/timeline-event.js';
