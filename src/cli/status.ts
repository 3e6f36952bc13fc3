import { callOperator } from './operatorClient.ts';
import type { OperatorOptions } from './output.ts';
import { printJson, printLine } from './output.ts';

function formatValue(value: unknown): string {
  if (typeof value === 'object' && value !== null) {
    return Object.entries(value)
      .map(([key, item]) => `${key}=${typeof item === 'string' ? item : JSON.stringify(item)}`)
      .join(' ');
  }
  return typeof value === 'string' ? value : JSON.stringify(value);
}

/** `status`: prints the state of the system as seen by an entry. */
export async function runStatus(options: OperatorOptions): Promise<void> {
  const status = (await callOperator(options, 'GET', '/v1/status')) as Record<string, unknown>;
  if (options.json === true) {
    printJson(status);
    return;
  }
  for (const [name, value] of Object.entries(status)) {
    if (!Array.isArray(value)) {
      printLine(`${name}: ${formatValue(value) || 'none'}`);
      continue;
    }
    printLine(`${name}: ${value.length}`);
    for (const item of value) printLine(`  ${formatValue(item)}`);
  }
}
