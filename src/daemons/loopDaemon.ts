import { randomInt } from 'node:crypto';
import type { Clock } from '../base/common/clock.ts';
import type { Counters } from '../base/common/counters.ts';
import type { Disposable } from '../base/common/disposable.ts';
import type { LoopState, TickReport } from '../base/common/loop.ts';
import { Loop } from '../base/common/loop.ts';
import type { KindedMessage } from '../base/common/mailbox.ts';
import { SeededRandom } from '../base/common/seededRandom.ts';
import type { System } from '../base/common/system.ts';
import type { LogWriter } from '../base/node/logWriter.ts';
import { Metrics } from '../base/node/metrics.ts';
import { NodeClock, NodeTimer } from '../base/node/nodeClock.ts';
import { FailureMonitor } from './failureMonitor.ts';

/** A longer tick noticeably delays every timeout and answer of the process. */
const SLOW_TICK_MS = 100;
/** Maximum length in characters of the reason in the log line of an invalid message. */
const MAX_LOGGED_REASON_LENGTH = 200;

/** Runs a process of the scheduler: one loop over its state, with metrics and a log. */
export abstract class LoopDaemon<
  Arrival extends KindedMessage,
  Effect extends KindedMessage,
  State extends LoopState<Arrival, Effect> & { readonly counters: Counters },
> implements Disposable {
  readonly metrics = Metrics.create();
  /** Exceptions of the process that did not end it. */
  readonly failures: FailureMonitor;
  protected readonly clock: Clock = NodeClock.create();
  protected readonly loop: Loop<Arrival, Effect, State>;
  private resolveStopped: () => void = () => undefined;
  /** Resolves when the loop requests the exit of the process. */
  readonly stopped = new Promise<void>((resolve) => {
    this.resolveStopped = resolve;
  });

  protected constructor(
    readonly state: State,
    systems: readonly System<State>[],
    protected readonly log: LogWriter,
  ) {
    this.failures = FailureMonitor.create(log, state.counters, this.clock);
    this.loop = Loop.create<Arrival, Effect, State>(
      {
        state,
        systems,
        clock: this.clock,
        random: SeededRandom.create(randomInt(0x7fffffff)),
        handleEffect: (effect) => {
          this.handleEffect(effect);
        },
        recordTick: (report) => {
          this.recordTick(report);
        },
        handleFailure: ({ source, name, error }) => {
          this.failures.record(source, name, error);
          if (source === 'system') this.recoverFrom(name);
        },
      },
      NodeTimer.create(),
    );
  }

  /** Starts the graceful shutdown; {@link stopped} resolves at its end. */
  abstract stop(): void;

  abstract dispose(): void;

  /** Executes one effect of the loop. */
  protected abstract handleEffect(effect: Effect): void;

  /** Discards the state that the failed system may have left inconsistent. */
  protected abstract recoverFrom(system: string): void;

  /** Resolves {@link stopped}. */
  protected completeStop(): void {
    this.resolveStopped();
  }

  private recordTick({ durationMs, arrivals, slowestSystem, slowestMs }: TickReport): void {
    this.metrics.recordDuration('loop_turn_duration_ms', {}, durationMs);
    if (durationMs < SLOW_TICK_MS) return;
    this.log.write('warn', 'turn_slow', {
      tookMs: Math.round(durationMs),
      arrivals,
      system: slowestSystem,
      systemMs: Math.round(slowestMs),
    });
  }

  /** Creates a handler that logs messages of a peer which violate the protocol's schema. */
  protected logInvalid(peer: string): (reason: string) => void {
    return (reason) => {
      this.log.write('warn', 'message_invalid', {
        peer,
        reason: reason.slice(0, MAX_LOGGED_REASON_LENGTH),
      });
    };
  }
}
