import type { ManualClock } from '../base/common/clock.ts';
import type { Disposable } from '../base/common/disposable.ts';
import { Timer } from '../base/common/loop.ts';

interface TimedCallback {
  readonly atMs: number;
  readonly order: number;
  readonly callback: () => void;
}

/** Runs callbacks while a manual clock is moved forward, in order of time. */
export class ManualTimer extends Timer {
  private readonly queue: TimedCallback[] = [];
  private lastOrder = 0;

  private constructor(private readonly clock: ManualClock) {
    super();
  }

  static create(clock: ManualClock): ManualTimer {
    return new ManualTimer(clock);
  }

  override schedule(delayMs: number, callback: () => void): Disposable {
    this.lastOrder += 1;
    const item = {
      atMs: this.clock.now + Math.max(0, delayMs),
      order: this.lastOrder,
      callback,
    };
    let index = this.queue.length;
    while (index > 0 && (this.queue[index - 1]?.atMs ?? 0) > item.atMs) index -= 1;
    this.queue.splice(index, 0, item);
    return {
      dispose: () => {
        const position = this.queue.indexOf(item);
        if (position >= 0) this.queue.splice(position, 1);
      },
    };
  }

  /** Moves the clock and runs everything that falls due. */
  runFor(durationMs: number): void {
    const untilMs = this.clock.now + durationMs;
    for (let next = this.queue[0]; next !== undefined; next = this.queue[0]) {
      if (next.atMs > untilMs) break;
      this.queue.shift();
      this.clock.advance(Math.max(0, next.atMs - this.clock.now));
      next.callback();
    }
    this.clock.advance(untilMs - this.clock.now);
  }
}
