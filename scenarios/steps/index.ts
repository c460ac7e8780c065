/**
 * All steps that feature files may use.
 *
 * @module
 */
/* eslint-disable import-x/no-unassigned-import -- each module registers its steps when it is loaded */
import './call-steps.js';
import './configuration-steps.js';
import './fault-steps.js';
import './raw-steps.js';
/* eslint-enable import-x/no-unassigned-import */

export {
	listSteps, type ScenarioState, type StepDefinition,
} from './define-step.js';
