/**
 * Name of the environment variable that sets a step of the clock.
 *
 * @module
 */

/** The step in milliseconds, which may be negative. */
export const clockStepVariable = 'STONEMOOR_SOAK_CLOCK_STEP_MS';
