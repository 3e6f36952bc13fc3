import { performance } from 'node:perf_hooks';
import type { Disposable } from '../../base/common/disposable.ts';

/**
 * Tracks the deadlines of many calls with one timer. The timer is set to the earliest deadline and
 * stays set when that call completes early, so most calls need no timer operation.
 */
export class DeadlineTimer<Call> implements Disposable {
  private readonly deadlines = new Map<Call, number>();
  private timeout: NodeJS.Timeout | undefined;
  private timeoutAt = Number.POSITIVE_INFINITY;

  private constructor(private readonly onExpired: (call: Call) => void) {}

  static create<Call>(onExpired: (call: Call) => void): DeadlineTimer<Call> {
    return new DeadlineTimer(onExpired);
  }

  add(call: Call, timeoutMs: number): void {
    const deadline = performance.now() + Math.max(1, timeoutMs);
    this.deadlines.set(call, deadline);
    this.schedule(deadline);
  }

  remove(call: Call): void {
    this.deadlines.delete(call);
  }

  dispose(): void {
    clearTimeout(this.timeout);
    this.deadlines.clear();
  }

  private schedule(deadline: number): void {
    if (deadline >= this.timeoutAt) return;
    clearTimeout(this.timeout);
    this.timeoutAt = deadline;
    this.timeout = setTimeout(
      () => {
        this.timeoutAt = Number.POSITIVE_INFINITY;
        this.expireCalls();
      },
      Math.ceil(deadline - performance.now()),
    );
  }

  private expireCalls(): void {
    const now = performance.now();
    let nextDeadline = Number.POSITIVE_INFINITY;
    for (const [call, deadline] of [...this.deadlines]) {
      if (deadline <= now) {
        this.deadlines.delete(call);
        this.onExpired(call);
      } else if (deadline < nextDeadline) nextDeadline = deadline;
    }
    if (nextDeadline < Number.POSITIVE_INFINITY) this.schedule(nextDeadline);
  }
}
