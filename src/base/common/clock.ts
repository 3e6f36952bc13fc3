/** Monotonic time of one process. Values of different processes are never compared. */
export abstract class Clock {
  /** Milliseconds since an arbitrary origin; never decreases. */
  abstract get now(): number;
}

/** A clock that tests move by hand. */
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
