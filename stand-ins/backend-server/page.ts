/**
 * Pages whose content depends only on their path, so that a caller can check
 * that a response is complete and belongs to its own request.
 *
 * @module
 */
import {createHash} from 'node:crypto';

const lineCount = 40;

/**
 * Creates the page of a path.
 *
 * @param path - The path with its query.
 * @returns The body that every backend server returns for this path.
 */
export function createPage(path: string): string {
	const seed = createHash('sha256').update(path).digest('hex');
	return Array.from({length: lineCount}, (_, index) => `${index} ${path} ${seed}`).join('\n');
}
