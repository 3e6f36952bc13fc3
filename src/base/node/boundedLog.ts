import { performance } from 'node:perf_hooks';
import type { Writable } from 'node:stream';
import { formatLogLine, LogWriter } from './logWriter.ts';
import type { LogFields, LogLevel } from './logWriter.ts';

/**
 * Limit of lines per event and level, so that a burst of one event does not suppress the others.
 * Warnings and errors identify causes and are rare among ordinary events, so their limit is larger
 * and separate.
 */
const MAX_LINES_PER_WINDOW: Readonly<Record<LogLevel, number>> = {
  info: 40,
  warn: 200,
  error: 200,
};
const WINDOW_MS = 1_000;
/** Lines are dropped above this buffer size, which bounds memory when nothing reads the output. */
const MAX_BUFFERED_BYTES = 256 * 1024;

/**
 * Writes events to a stream with a limit of lines per event, level and window. The next line of the
 * event and level reports the number of dropped lines. Never waits for the stream.
 */
export class BoundedLog extends LogWriter {
  private readonly windows = new Map<string, { startMs: number; lines: number; dropped: number }>();
  /** Number of dropped lines since the start. */
  leftOutLines = 0;

  private isOutputClosed = false;

  private constructor(private readonly output: Writable) {
    super(false);
    // A reader that is gone makes each write fail; an unhandled error event would end the process.
    output.on('error', () => {
      this.isOutputClosed = true;
    });
  }

  static createFor(output: Writable): BoundedLog {
    return new BoundedLog(output);
  }

  override write(level: LogLevel, event: string, fields: LogFields): void {
    const now = performance.now();
    const key = `${level} ${event}`;
    let window = this.windows.get(key);
    if (window === undefined) {
      window = { startMs: now, lines: 0, dropped: 0 };
      this.windows.set(key, window);
    }
    if (now - window.startMs >= WINDOW_MS) {
      window.startMs = now;
      window.lines = 0;
    }
    const isFull = this.isOutputClosed || this.output.writableLength > MAX_BUFFERED_BYTES;
    if (window.lines >= MAX_LINES_PER_WINDOW[level] || isFull) {
      window.dropped += 1;
      this.leftOutLines += 1;
      return;
    }
    window.lines += 1;
    const leftOutField = window.dropped === 0 ? {} : { leftOut: window.dropped };
    window.dropped = 0;
    this.output.write(`${formatLogLine(event, level, { ...fields, ...leftOutField })}\n`);
  }
}
