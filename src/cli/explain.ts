import { callOperator } from './operatorClient.ts';
import type { OperatorOptions } from './output.ts';
import { CommandError, printJson, printLine } from './output.ts';

interface Explanation {
  readonly rows: Readonly<Record<string, unknown>>;
  readonly decisions: readonly { ageMs: number; action: string; reason: string }[];
  readonly note?: string;
}

/** `explain <subject>`: prints the rows of a subject and the decisions about it, oldest first. */
export async function runExplain(subject: string, options: OperatorOptions): Promise<void> {
  const path = `/v1/explain/${encodeURIComponent(subject)}`;
  const answer = (await callOperator(options, 'GET', path)) as Explanation;
  if (Object.keys(answer.rows).length === 0 && answer.decisions.length === 0) {
    const note = answer.note === undefined ? '' : `; ${answer.note}`;
    throw new CommandError(`the entry has no rows and no decisions about ${subject}${note}`);
  }
  if (options.json === true) {
    printJson(answer);
    return;
  }
  for (const [table, row] of Object.entries(answer.rows))
    printLine(`${table}: ${JSON.stringify(row)}`);
  for (const { ageMs, action, reason } of answer.decisions)
    printLine(`${(ageMs / 1_000).toFixed(1)} s ago: ${action}: ${reason}`);
}
