/**
 * Parses JSON without exceptions.
 *
 * @module
 */
import {err, ok, type Result} from 'neverthrow';
import {type z} from 'zod';

/**
 * Parses JSON and validates it against a schema.
 *
 * @param text - The text, possibly damaged.
 * @param schema - The schema of the value.
 * @returns The value, or a sentence that says what is wrong.
 * @internal
 */
export function parseJson<T>(text: string, schema: z.ZodType<T>): Result<T, string> {
	try {
		const parsed = schema.safeParse(JSON.parse(text));
		if (parsed.success) {
			return ok(parsed.data);
		}

		const issue = parsed.error.issues[0];
		return err(`${issue?.path.join('.') ?? ''}: ${issue?.message ?? 'does not match the schema'}`);
	} catch (error) {
		return err(`is not valid JSON: ${(error as Error).message}`);
	}
}
