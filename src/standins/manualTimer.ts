import type { ManualClock } from '../base/common/clock.ts';
import type { Disposable } from '../base/common/disposable.ts';
import { Timer } from '../base/common/loop.ts';

interface ScheduledCallback {
  readonly atMs: number;
  readonly sequence: number;
  readonly callback: () => void;
}

/** Advances a manual clock and runs the scheduled callbacks in order of time. */
export class ManualTimer extends Timer {
  private readonly callbacks: ScheduledCallback[] = [];
  private lastSequence = 0;

  private constructor(private readonly clock: ManualClock) {
    super();
  }

  static create(clock: ManualClock): ManualTimer {
    return new ManualTimer(clock);
  }

  override schedule(delayMs: number, callback: () => void): Disposable {
    this.lastSequence += 1;
    const scheduled = {
      atMs: this.clock.now + Math.max(0, delayMs),
      sequence: this.lastSequence,
      callback,
    };
    let index = this.callbacks.length;
    while (index > 0 && (this.callbacks[index - 1]?.atMs ?? 0) > scheduled.atMs) index -= 1;
    this.callbacks.splice(index, 0, scheduled);
    return {
      dispose: () => {
        const position = this.callbacks.indexOf(scheduled);
        if (position >= 0) this.callbacks.splice(position, 1);
      },
    };
  }

  /** Advances the clock by the duration and runs each callback that becomes due. */
  runFor(durationMs: number): void {
    const untilMs = this.clock.now + durationMs;
    for (let next = this.callbacks[0]; next !== undefined; next = this.callbacks[0]) {
      if (next.atMs > untilMs) break;
      this.callbacks.shift();
      this.clock.advance(Math.max(0, next.atMs - this.clock.now));
      next.callback();
    }
    this.clock.advance(untilMs - this.clock.now);
  }
}
