/**
 * What is wrong with a configuration that was handed in, in words that tell the
 * operator where to look and what to do.
 *
 * @module
 */

/** One problem of a document or submission. @public */
export type Problem = {
	/** The item, as in `route/logs`, or an empty text for the document as a whole. */
	readonly item: string;
	/** The field within the item, as in `methods.0`, or an empty text. */
	readonly field: string;
	readonly message: string;
	/** Lines and columns count from 1; absent when the submission was not a document. */
	readonly line?: number;
	readonly column?: number;
};

/**
 * @param problem - The problem to show.
 * @param file - The file it was found in, if any.
 * @returns One line for people.
 * @public
 */
export function formatProblem(problem: Problem, file?: string): string {
	const place = problem.line === undefined ? '' : `${problem.line}:${problem.column ?? 1}: `;
	const subject = [problem.item, problem.field].filter(text => text !== '').join(' ');
	return `${file === undefined ? '' : `${file}:`}${place}${subject === '' ? '' : `${subject}: `}${problem.message}`;
}
