import { createConsola } from 'consola/core';

export type LogLevel = 'info' | 'warn' | 'error';
export type LogFields = Readonly<Record<string, string | number | boolean>>;

function formatField(value: string | number | boolean): string {
  const text = String(value);
  return /^[\w.:/@+-]+$/.test(text) ? text : JSON.stringify(text);
}

/** Formats one event as a single line of key=value pairs. */
export function formatLogLine(event: string, level: LogLevel, fields: LogFields): string {
  const pairs = Object.entries(fields).map(([name, value]) => `${name}=${formatField(value)}`);
  return [`level=${level}`, `event=${event}`, ...pairs].join(' ');
}

/** Writes events to standard error, one line each. */
export class LogWriter {
  private readonly consola = createConsola({
    reporters: [
      {
        log: (entry) => {
          process.stderr.write(`${entry.args.join(' ')}\n`);
        },
      },
    ],
  });

  protected constructor(private readonly isQuiet: boolean) {}

  static create(isQuiet = false): LogWriter {
    return new LogWriter(isQuiet);
  }

  write(level: LogLevel, event: string, fields: LogFields): void {
    if (!this.isQuiet) this.consola[level](formatLogLine(event, level, fields));
  }
}
