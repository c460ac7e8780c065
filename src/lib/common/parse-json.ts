/**
 * Reads JSON without exceptions.
 *
 * @module
 */
import {err, ok, type Result} from 'neverthrow';
import {type z} from 'zod';

/**
 * Parses a text and checks its shape.
 *
 * @param text - JSON, perhaps damaged.
 * @param schema - What it must be.
 * @returns The value, or what is wrong in one sentence.
 * @internal
 */
export function parseJson<T>(text: string, schema: z.ZodType<T>): Result<T, string> {
	try {
		const parsed = schema.safeParse(JSON.parse(text));
		if (parsed.success) {
			return ok(parsed.data);
		}

		const issue = parsed.error.issues[0];
		return err(`${issue?.path.join('.') ?? ''}: ${issue?.message ?? 'has the wrong shape'}`);
	} catch (error) {
		return err(`is not JSON: ${(error as Error).message}`);
	}
}
