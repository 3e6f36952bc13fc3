import { describe, expect, it } from 'vitest';
import { ManualClock } from '../../../src/base/common/clock.ts';
import type { TickReport } from '../../../src/base/common/loop.ts';
import { Loop } from '../../../src/base/common/loop.ts';
import type { KindedMessage } from '../../../src/base/common/mailbox.ts';
import { Mailbox } from '../../../src/base/common/mailbox.ts';
import { SeededRandom } from '../../../src/base/common/seededRandom.ts';
import { System } from '../../../src/base/common/system.ts';

interface TestState {
  readonly inbox: Mailbox<KindedMessage>;
  readonly outbox: Mailbox<KindedMessage>;
}

/** Advances a manual clock by a fixed duration in each run. */
class BusySystem extends System<TestState> {
  private constructor(
    override readonly name: string,
    private readonly clock: ManualClock,
    private readonly runDurationMs: number,
  ) {
    super();
  }

  static create(name: string, clock: ManualClock, tookMs: number): BusySystem {
    return new BusySystem(name, clock, tookMs);
  }

  override run(): void {
    this.clock.advance(this.runDurationMs);
  }
}

describe('Loop', () => {
  describe('report of a tick', () => {
    it('does not name a wrong system as the slowest of a tick', () => {
      const clock = ManualClock.create(0);
      const reports: TickReport[] = [];
      const loop = Loop.create<KindedMessage, KindedMessage, TestState>({
        state: { inbox: Mailbox.create(), outbox: Mailbox.create() },
        systems: [
          BusySystem.create('quick', clock, 5),
          BusySystem.create('slow', clock, 120),
          BusySystem.create('last', clock, 1),
        ],
        clock,
        random: SeededRandom.create(1),
        handleEffect: () => undefined,
        recordTick: (report) => reports.push(report),
      });
      loop.receive({ kind: 'message' });
      loop.runTick();
      expect(reports).toEqual([
        { durationMs: 126, arrivals: 1, slowestSystem: 'slow', slowestMs: 120 },
      ]);
    });
  });
});
