import { describe, expect, it } from 'vitest';
import { ManualClock } from '../../../src/base/common/clock.ts';
import type { Disposable } from '../../../src/base/common/disposable.ts';
import type { LoopFailure, TickReport } from '../../../src/base/common/loop.ts';
import { Loop, Timer } from '../../../src/base/common/loop.ts';
import type { KindedMessage } from '../../../src/base/common/mailbox.ts';
import { Mailbox } from '../../../src/base/common/mailbox.ts';
import { SeededRandom } from '../../../src/base/common/seededRandom.ts';
import type { Tick } from '../../../src/base/common/system.ts';
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

/** Throws in each run while it is told to. */
class FailingSystem extends System<TestState> {
  override readonly name = 'failing';
  isFailing = true;
  runs = 0;

  private constructor() {
    super();
  }

  static create(): FailingSystem {
    return new FailingSystem();
  }

  override run(state: TestState, tick: Tick): void {
    this.runs += 1;
    if (this.isFailing) throw new TypeError('a field is missing');
    tick.wakeAt(tick.now + 5_000);
    state.outbox.append({ kind: 'done' });
  }
}

/** Queues one effect for each message. */
class EchoSystem extends System<TestState> {
  override readonly name = 'echo';

  private constructor() {
    super();
  }

  static create(): EchoSystem {
    return new EchoSystem();
  }

  override run(state: TestState): void {
    for (const { kind } of state.inbox.list('message')) state.outbox.append({ kind });
    for (const { kind } of state.inbox.list('broken')) state.outbox.append({ kind });
  }
}

describe('Loop', () => {
  describe('exception', () => {
    function createFailingLoop() {
      const clock = ManualClock.create(0);
      const failing = FailingSystem.create();
      const failures: LoopFailure[] = [];
      const handled: string[] = [];
      const loop = Loop.create<KindedMessage, KindedMessage, TestState>({
        state: { inbox: Mailbox.create(), outbox: Mailbox.create() },
        systems: [failing, EchoSystem.create()],
        clock,
        random: SeededRandom.create(1),
        handleEffect: ({ kind }) => {
          if (kind === 'broken') throw new RangeError('bad port');
          handled.push(kind);
        },
        handleFailure: (failure) => failures.push(failure),
      });
      return { clock, failing, failures, handled, loop };
    }

    it('of a system does not keep the other systems from their messages', () => {
      const { loop, failures, handled } = createFailingLoop();
      loop.receive({ kind: 'message' });
      loop.runTick();
      expect(handled).toEqual(['message']);
      expect(failures).toMatchObject([{ source: 'system', name: 'failing' }]);
      expect(failures[0]?.error).toBeInstanceOf(TypeError);
    });

    it('of a system does not leave it without another tick', () => {
      const { clock, loop, failing, handled } = createFailingLoop();
      const wakeAt = loop.runTick();
      expect(wakeAt).toBeGreaterThan(clock.now);
      expect(wakeAt).toBeLessThanOrEqual(clock.now + 1_000);
      failing.isFailing = false;
      loop.runTick();
      expect(handled).toEqual(['done']);
    });

    it('of an effect does not drop the effects after it', () => {
      const { loop, failures, failing, handled } = createFailingLoop();
      failing.isFailing = false;
      loop.receive({ kind: 'broken' });
      loop.receive({ kind: 'message' });
      loop.runTick();
      expect(handled).toEqual(['done', 'message']);
      expect(failures).toMatchObject([{ source: 'effect', name: 'broken' }]);
    });

    it('does not disappear in a loop without a handler', () => {
      const loop = Loop.create<KindedMessage, KindedMessage, TestState>({
        state: { inbox: Mailbox.create(), outbox: Mailbox.create() },
        systems: [FailingSystem.create()],
        clock: ManualClock.create(0),
        random: SeededRandom.create(1),
        handleEffect: () => undefined,
      });
      expect(() => loop.runTick()).toThrow(TypeError);
    });
  });

  describe('timer', () => {
    it('does not fire at once for a time that is weeks away', () => {
      const delays: number[] = [];
      class RecordingTimer extends Timer {
        static create(): RecordingTimer {
          return new RecordingTimer();
        }

        override schedule(delayMs: number): Disposable {
          delays.push(delayMs);
          return { dispose: () => undefined };
        }
      }
      class FarSystem extends System<TestState> {
        override readonly name = 'far';

        static create(): FarSystem {
          return new FarSystem();
        }

        override run(_: TestState, tick: Tick): void {
          tick.wakeAt(tick.now + 60 * 24 * 60 * 60 * 1_000);
        }
      }
      const timer = RecordingTimer.create();
      const loop = Loop.create<KindedMessage, KindedMessage, TestState>(
        {
          state: { inbox: Mailbox.create(), outbox: Mailbox.create() },
          systems: [FarSystem.create()],
          clock: ManualClock.create(0),
          random: SeededRandom.create(1),
          handleEffect: () => undefined,
        },
        timer,
      );
      loop.wakeAt(loop.runTick());
      expect(delays).toHaveLength(1);
      // Node.js replaces a longer delay by 1 ms, so the loop would spin.
      expect(delays[0]).toBeLessThanOrEqual(2 ** 31 - 1);
      expect(delays[0]).toBeGreaterThan(1_000);
    });
  });

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
