import type { Either } from 'purify-ts/Either';
import { Left, Right } from 'purify-ts/Either';
import en from 'zod/v4/locales/en.js';
import * as z from 'zod/mini';

// zod/mini contains no error messages, so the English ones are configured here.
z.config(en());

/** A validation fault of a value, with the path to the field. */
export interface ValueFault {
  readonly path: string;
  readonly message: string;
}

function formatPath(path: readonly PropertyKey[]): string {
  return path
    .map((segment) => (typeof segment === 'number' ? `[${segment}]` : `.${String(segment)}`))
    .join('')
    .replace(/^\./, '');
}

/** Converts an issue to faults; each unknown field becomes a fault with its own path. */
function toFaults(issue: z.core.$ZodIssue): ValueFault[] {
  if (issue.code !== 'unrecognized_keys')
    return [{ path: formatPath(issue.path), message: issue.message }];
  return issue.keys.map((key) => ({
    path: formatPath([...issue.path, key]),
    message: 'unknown field',
  }));
}

/** Validates a value against a schema and reports all its faults at once. */
export function parseValue<Schema extends z.ZodMiniType>(
  schema: Schema,
  value: unknown,
): Either<ValueFault[], z.output<Schema>> {
  const result = z.safeParse(schema, value);
  if (result.success) return Right(result.data);
  return Left(result.error.issues.flatMap(toFaults));
}

export function formatFaults(faults: readonly ValueFault[]): string {
  return faults
    .map((fault) => `${fault.path === '' ? '(root)' : fault.path}: ${fault.message}`)
    .join('; ');
}
