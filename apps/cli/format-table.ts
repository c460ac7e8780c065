/**
 * Formats tables for the terminal.
 *
 * @module
 */

/**
 * Formats a table.
 *
 * @param header - The names of the columns.
 * @param rows - The rows, with one text for each column.
 * @returns Lines with aligned columns.
 */
export function formatTable(header: readonly string[], rows: ReadonlyArray<readonly string[]>): string {
	const widths = header.map((name, column) => Math.max(name.length, ...rows.map(row => (row[column] ?? '').length)));
	return [header, ...rows]
		.map(row => row.map((cell, column) => cell.padEnd(widths[column] ?? 0)).join('  ').trimEnd())
		.join('\n');
}
