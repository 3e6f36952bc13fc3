import type { ValueFault } from '../base/common/parse.ts';

/** Exit codes of every command. */
export const EXIT_OK = 0;
export const EXIT_FAILED = 1;
/** Exit code for an invalid command line, file or operator input. */
export const EXIT_INVALID = 2;

/** Ends a command with a message on standard error and an exit code. */
export class CommandError extends Error {
  constructor(
    message: string,
    readonly exitCode: number = EXIT_FAILED,
  ) {
    super(message);
  }
}

export function printLine(text: string): void {
  process.stdout.write(`${text}\n`);
}

export function printJson(value: unknown): void {
  printLine(JSON.stringify(value, null, 2));
}

/** Formats one error per line, as `path: message`. */
export function formatFaultLines(faults: readonly ValueFault[]): string {
  return faults
    .map(({ path, message }) => `${path === '' ? '(root)' : path}: ${message}`)
    .join('\n');
}

/** Common options of the operator commands. */
export interface OperatorOptions {
  readonly operator?: string;
  readonly json?: boolean;
}
