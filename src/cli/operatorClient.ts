import { callJson, ORIGIN_PATTERN } from './jsonClient.ts';
import type { OperatorOptions } from './output.ts';
import { CommandError, EXIT_INVALID } from './output.ts';

export const OPERATOR_ADDRESS_VARIABLE = 'BRAMLEYLADDER_OPERATOR';

function getOperatorOrigin(options: OperatorOptions): string {
  const origin = options.operator ?? process.env[OPERATOR_ADDRESS_VARIABLE];
  if (origin === undefined || !ORIGIN_PATTERN.test(origin)) {
    throw new CommandError(
      `set the operator address of an entry, http://ip:port, with --operator or ${OPERATOR_ADDRESS_VARIABLE}`,
      EXIT_INVALID,
    );
  }
  return origin;
}

/** Sends one call to the operator API of an entry. Throws a CommandError with the failure. */
export async function callOperator(
  options: OperatorOptions,
  method: 'GET' | 'PUT',
  path: string,
  body?: unknown,
): Promise<unknown> {
  return callJson(getOperatorOrigin(options), method, path, body);
}
