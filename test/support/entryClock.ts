import { Clock } from '../../src/base/common/clock.ts';

/** Monotonic clock of an entry. */
export class EntryClock extends Clock {
  private constructor(
    private readonly clock: Clock,
    private readonly getSuspendedMs: () => number,
  ) {
    super();
  }

  static create(clock: Clock, getSuspendedMs: () => number): EntryClock {
    return new EntryClock(clock, getSuspendedMs);
  }

  override get now(): number {
    return this.clock.now - this.getSuspendedMs();
  }
}
