import type { Clock } from '../base/common/clock.ts';
import type { Counters } from '../base/common/counters.ts';
import type { LogWriter } from '../base/node/logWriter.ts';

/**
 * Where an exception was caught. `callback`: in a handler of a socket, a server or a timer.
 * `promise`: a promise that nothing awaits.
 */
export type FailureSource = 'system' | 'effect' | 'call' | 'callback' | 'promise';

/** Failures within {@link WINDOW_MS} from which on they count as persistent. */
const MAX_FAILURES_PER_WINDOW = 50;
const WINDOW_MS = 10_000;
/** A younger process does not end: a restart has just not helped, and would interrupt its calls. */
const MIN_UPTIME_MS = 60_000;
/** Stack frames in the log line of a failure. */
const LOGGED_FRAMES = 4;

/**
 * Logs and counts exceptions that are contained, so that one message or one entry cannot end the
 * process. When they persist, the state that they leave behind is no longer known, and the process
 * ends so that it is rebuilt.
 */
export class FailureMonitor {
  /** Called once when failures persist. */
  onPersistent: () => void = () => undefined;
  private readonly startedAt: number;
  private windowStartedAt: number;
  private failuresInWindow = 0;
  private isPersistent = false;

  private constructor(
    private readonly log: LogWriter,
    private readonly counters: Counters,
    private readonly clock: Clock,
  ) {
    this.startedAt = clock.now;
    this.windowStartedAt = clock.now;
  }

  static create(log: LogWriter, counters: Counters, clock: Clock): FailureMonitor {
    return new FailureMonitor(log, counters, clock);
  }

  /** Records a failure and returns its message. */
  record(source: FailureSource, name: string, error: unknown): string {
    const message = error instanceof Error ? `${error.name}: ${error.message}` : String(error);
    this.counters.add('contained_failures', { source, name });
    this.log.write('error', 'failure_contained', {
      source,
      name,
      message,
      stack: formatFrames(error),
    });
    this.updateWindow();
    return message;
  }

  /** Completes a call whose client breaks its contract not to reject, with the created reply. */
  async completeCall<Reply>(
    service: string,
    call: Promise<Reply>,
    createReply: (message: string) => Reply,
  ): Promise<Reply> {
    return call.catch((error: unknown) => createReply(this.record('call', service, error)));
  }

  private updateWindow(): void {
    const { now } = this.clock;
    if (now - this.windowStartedAt >= WINDOW_MS) {
      this.windowStartedAt = now;
      this.failuresInWindow = 0;
    }
    this.failuresInWindow += 1;
    if (this.isPersistent || this.failuresInWindow <= MAX_FAILURES_PER_WINDOW) return;
    if (now - this.startedAt < MIN_UPTIME_MS) return;
    this.isPersistent = true;
    this.log.write('error', 'failures_persist', { failures: this.failuresInWindow });
    this.onPersistent();
  }
}

function formatFrames(error: unknown): string {
  const lines = error instanceof Error ? (error.stack ?? '').split('\n') : [];
  return lines
    .filter((line) => line.trimStart().startsWith('at '))
    .slice(0, LOGGED_FRAMES)
    .map((line) => line.trim())
    .join(' < ');
}
