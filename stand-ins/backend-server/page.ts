/**
 * Pages whose content follows from their path, so that a caller can tell a
 * whole answer to its own request from any other.
 *
 * @module
 */
import {createHash} from 'node:crypto';

const lineCount = 40;

/**
 * Writes the page of a path.
 *
 * @param path - The path with its query.
 * @returns The text that every backend server answers for it.
 */
export function createPage(path: string): string {
	const seed = createHash('sha256').update(path).digest('hex');
	return Array.from({length: lineCount}, (_, index) => `${index} ${path} ${seed}`).join('\n');
}
