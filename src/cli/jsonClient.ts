import { request as sendRequest } from 'undici';
import * as z from 'zod/mini';
import { CommandError, EXIT_FAILED, EXIT_INVALID, formatFaultLines } from './output.ts';

/** Matches the origins that commands accept: `http://ip:port`. */
export const ORIGIN_PATTERN = /^http:\/\/[^/]+$/;
/** Longer than the write timeout of the entry, so that its answer arrives first. */
const CALL_TIMEOUT_MS = 12_000;

const failureBodySchema = z.object({
  error: z.string(),
  message: z.string(),
  details: z.optional(z.unknown()),
});
const faultsSchema = z.array(z.object({ path: z.string(), message: z.string() }));

function toCommandError(body: unknown, retryAfter: string | undefined): CommandError {
  const parsed = z.safeParse(failureBodySchema, body);
  if (!parsed.success) return new CommandError('the entry sent an invalid error body');
  const { error, message, details } = parsed.data;
  const exitCode =
    error === 'config_invalid' || error === 'bad_request' ? EXIT_INVALID : EXIT_FAILED;
  const retryHint = retryAfter === undefined ? '' : `; retry after ${retryAfter} s`;
  const faults = z.safeParse(faultsSchema, details);
  return new CommandError(
    faults.success
      ? `${error}\n${formatFaultLines(faults.data)}`
      : `${error}: ${message}${retryHint}`,
    exitCode,
  );
}

/** Sends one call with JSON bodies. Throws a CommandError with the reason for the failure. */
export async function callJson(
  origin: string,
  method: 'GET' | 'PUT' | 'DELETE',
  path: string,
  body?: unknown,
): Promise<unknown> {
  let status: number;
  let value: unknown;
  let retryAfter: string | undefined;
  try {
    const answer = await sendRequest(`${origin}${path}`, {
      method,
      ...(body === undefined ? {} : { body: JSON.stringify(body) }),
      signal: AbortSignal.timeout(CALL_TIMEOUT_MS),
    });
    status = answer.statusCode;
    retryAfter = [answer.headers['retry-after']].flat()[0];
    value = await answer.body.json();
  } catch (error) {
    throw new CommandError(`no answer from ${origin}: ${(error as Error).message}`);
  }
  if (status !== 200) throw toCommandError(value, retryAfter);
  return value;
}
