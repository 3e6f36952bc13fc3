import { request as sendRequest } from 'undici';
import * as z from 'zod/mini';
import type { OperatorOptions } from './output.ts';
import { CommandError, EXIT_FAILED, EXIT_INVALID, formatFaultLines } from './output.ts';

export const OPERATOR_VARIABLE = 'BRAMLEYLADDER_OPERATOR';
/** Longer than the entry's own bound for a write, so that its answer is seen. */
const CALL_TIMEOUT_MS = 12_000;

const failureBodySchema = z.object({
  error: z.string(),
  message: z.string(),
  details: z.optional(z.unknown()),
});
const faultsSchema = z.array(z.object({ path: z.string(), message: z.string() }));

function getOperatorOrigin(options: OperatorOptions): string {
  const origin = options.operator ?? process.env[OPERATOR_VARIABLE];
  if (origin === undefined || !/^http:\/\/[^/]+$/.test(origin)) {
    throw new CommandError(
      `give the operator address of an entry, http://ip:port, by --operator or ${OPERATOR_VARIABLE}`,
      EXIT_INVALID,
    );
  }
  return origin;
}

function toCommandError(body: unknown): CommandError {
  const parsed = z.safeParse(failureBodySchema, body);
  if (!parsed.success) return new CommandError('the entry sent an answer that is not understood');
  const { error, message, details } = parsed.data;
  const exitCode =
    error === 'config_invalid' || error === 'bad_request' ? EXIT_INVALID : EXIT_FAILED;
  const faults = z.safeParse(faultsSchema, details);
  return new CommandError(
    faults.success ? `${error}\n${formatFaultLines(faults.data)}` : `${error}: ${message}`,
    exitCode,
  );
}

/** Sends one call to the operator interface of an entry. Throws a CommandError with the reason. */
export async function callOperator(
  options: OperatorOptions,
  method: 'GET' | 'PUT',
  path: string,
  body?: unknown,
): Promise<unknown> {
  const origin = getOperatorOrigin(options);
  let status: number;
  let value: unknown;
  try {
    const answer = await sendRequest(`${origin}${path}`, {
      method,
      ...(body === undefined ? {} : { body: JSON.stringify(body) }),
      signal: AbortSignal.timeout(CALL_TIMEOUT_MS),
    });
    status = answer.statusCode;
    value = await answer.body.json();
  } catch (error) {
    throw new CommandError(`no answer from ${origin}: ${(error as Error).message}`);
  }
  if (status !== 200) throw toCommandError(value);
  return value;
}
