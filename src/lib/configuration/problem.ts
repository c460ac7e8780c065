/**
 * A problem in a submitted configuration. Its message tells the operator where
 * the problem is and how to correct it.
 *
 * @module
 */

/** One problem of a document or submission. @public */
export type Problem = {
	/** Key of the item, such as `route/logs`; empty for the document as a whole. */
	readonly item: string;
	/** Path of the field within the item, such as `methods.0`; empty for the item as a whole. */
	readonly field: string;
	readonly message: string;
	/** Line and column, counted from 1; absent if the submission was not a document. */
	readonly line?: number;
	readonly column?: number;
};

/**
 * @param problem - The problem to format.
 * @param file - Path of the file that contains the problem, if any.
 * @returns One line of human-readable text.
 * @public
 */
export function formatProblem(problem: Problem, file?: string): string {
	const place = problem.line === undefined ? '' : `${problem.line}:${problem.column ?? 1}: `;
	const subject = [problem.item, problem.field].filter(text => text !== '').join(' ');
	return `${file === undefined ? '' : `${file}:`}${place}${subject === '' ? '' : `${subject}: `}${problem.message}`;
}
