import type { ValueFault } from '../base/common/parse.ts';

/** Exit codes of every command. */
export const EXIT_OK = 0;
export const EXIT_FAILED = 1;
/** The command line, a file or the operator's input is not valid. */
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

/** One fault a line, with its path first. */
export function formatFaultLines(faults: readonly ValueFault[]): string {
  return faults
    .map(({ path, message }) => `${path === '' ? '(root)' : path}: ${message}`)
    .join('\n');
}

/** Options that the operators' commands share. */
export interface OperatorOptions {
  readonly operator?: string;
  readonly json?: boolean;
}
