import * as z from 'zod/mini';
import { changeAnswerSchema } from './configApply.ts';
import { callOperator } from './operatorClient.ts';
import type { OperatorOptions } from './output.ts';
import { printJson, printLine } from './output.ts';

/** `zone out <zone>` and `zone in <zone>`: take a zone out of service or return it to service. */
export async function runZone(
  action: 'out' | 'in',
  zone: string,
  options: OperatorOptions,
): Promise<void> {
  const path = `/v1/zones/${encodeURIComponent(zone)}/${action}`;
  const answer = z.parse(changeAnswerSchema, await callOperator(options, 'PUT', path));
  if (options.json === true) printJson(answer);
  else if (answer.changed)
    printLine(`zone ${zone} ${action}: revision ${answer.revision} accepted`);
  else printLine(`zone ${zone} is already ${action} in revision ${answer.revision}`);
}
