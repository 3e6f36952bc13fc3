import type { ManualClock } from '../../src/base/common/clock.ts';

/** Runs the events of a simulated world in the order of their times. */
export class WorldEvents {
  private readonly events: { at: number; order: number; run: () => void }[] = [];
  private readonly wakes = new Map<string, number>();
  private nextOrder = 0;

  private constructor(private readonly clock: ManualClock) {}

  static create(clock: ManualClock): WorldEvents {
    return new WorldEvents(clock);
  }

  schedule(delayMs: number, run: () => void): void {
    this.nextOrder += 1;
    this.events.push({ at: this.clock.now + delayMs, order: this.nextOrder, run });
  }

  /** Schedules the next tick that a node's systems requested; a node has one pending tick at most. */
  wake(nodeId: string, at: number, runTick: () => number): void {
    const wakeAt = Math.max(this.clock.now + 1, at);
    if (wakeAt >= (this.wakes.get(nodeId) ?? Number.POSITIVE_INFINITY)) return;
    this.wakes.set(nodeId, wakeAt);
    this.schedule(wakeAt - this.clock.now, () => {
      if (this.wakes.get(nodeId) !== wakeAt) return;
      this.wakes.delete(nodeId);
      this.wake(nodeId, runTick(), runTick);
    });
  }

  /** Drops the pending tick of a process that has ended, whose node gets a new one. */
  forgetWake(nodeId: string): void {
    this.wakes.delete(nodeId);
  }

  /** Advances the clock and runs all events that are due. */
  run(durationMs: number, beforeEach: () => void): void {
    const end = this.clock.now + durationMs;
    for (;;) {
      this.events.sort((left, right) => left.at - right.at || left.order - right.order);
      const [next] = this.events;
      if (next === undefined || next.at > end) break;
      this.events.shift();
      this.clock.advance(Math.max(0, next.at - this.clock.now));
      beforeEach();
      next.run();
    }
    this.clock.advance(end - this.clock.now);
  }
}
