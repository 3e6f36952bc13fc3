/** Monotonic clock of one process. Times of different processes are not comparable. */
export abstract class Clock {
  /** Milliseconds since an arbitrary origin; never decreases. */
  abstract get now(): number;
}

/** A clock that advances only when a test advances it. */
export class ManualClock extends Clock {
  private constructor(private timeMs: number) {
    super();
  }

  static create(startMs = 0): ManualClock {
    return new ManualClock(startMs);
  }

  override get now(): number {
    return this.timeMs;
  }

  advance(advanceMs: number): void {
    this.timeMs += advanceMs;
  }
}
