import type { Clock } from './clock.ts';
import type { Disposable } from './disposable.ts';
import type { KindedMessage, Mailbox } from './mailbox.ts';
import type { SeededRandom } from './seededRandom.ts';
import type { System, Tick } from './system.ts';

/** Schedules callbacks on the thread's event loop. */
export abstract class Timer {
  /** Runs the callback after the delay; the returned object cancels it. */
  abstract schedule(delayMs: number, callback: () => void): Disposable;
}

/** State that a {@link Loop} runs its systems over. */
export interface LoopState<Arrival extends KindedMessage, Effect extends KindedMessage> {
  readonly inbox: Mailbox<Arrival>;
  readonly outbox: Mailbox<Effect>;
}

/** Duration and load of one tick of the loop. */
export interface TickReport {
  readonly durationMs: number;
  /** Number of messages that the tick handled. */
  readonly arrivals: number;
  readonly slowestSystem: string;
  readonly slowestMs: number;
}

/** An exception that a system, or the handler of an effect, has thrown. */
export interface LoopFailure {
  readonly source: 'system' | 'effect';
  /** Name of the system, or kind of the effect. */
  readonly name: string;
  readonly error: unknown;
}

export interface LoopOptions<
  Arrival extends KindedMessage,
  Effect extends KindedMessage,
  State extends LoopState<Arrival, Effect>,
> {
  readonly state: State;
  readonly systems: readonly System<State>[];
  readonly clock: Clock;
  readonly random: SeededRandom;
  /** Executes one effect. Its result is received by the loop as an arrival. */
  readonly handleEffect: (effect: Effect) => void;
  readonly recordTick?: (report: TickReport) => void;
  /**
   * Handles an exception; the tick then continues with the next system or effect. Without a handler
   * the exception leaves the tick.
   */
  readonly handleFailure?: (failure: LoopFailure) => void;
}

/** Delay of the tick that runs a failed system again; its wake-up time is not known. */
const FAILURE_RETRY_DELAY_MS = 200;
/** Node.js fires a timer with a delay above 2^31-1 ms at once; an earlier tick only re-schedules. */
const MAX_TIMER_DELAY_MS = 60 * 60 * 1_000;

/**
 * Decides when the systems of a process run and which time they see. A tick runs every system once
 * over the received messages and then passes the queued effects to the adapters.
 */
export class Loop<
  Arrival extends KindedMessage,
  Effect extends KindedMessage,
  State extends LoopState<Arrival, Effect>,
> implements Disposable {
  private pendingTimer: Disposable | undefined;
  private pendingTickAt = Number.POSITIVE_INFINITY;
  private isDisposed = false;

  private constructor(
    private readonly options: LoopOptions<Arrival, Effect, State>,
    private readonly timer: Timer | undefined,
  ) {}

  /** Without a timer the loop runs only when {@link runTick} is called. */
  static create<
    Arrival extends KindedMessage,
    Effect extends KindedMessage,
    State extends LoopState<Arrival, Effect>,
  >(options: LoopOptions<Arrival, Effect, State>, timer?: Timer): Loop<Arrival, Effect, State> {
    return new Loop(options, timer);
  }

  /** Queues an arrival and wakes the loop. */
  receive(arrival: Arrival): void {
    if (this.isDisposed) return;
    this.options.state.inbox.append(arrival);
    this.scheduleTick(this.options.clock.now);
  }

  /** Schedules a tick as soon as possible. */
  wake(): void {
    this.wakeAt(this.options.clock.now);
  }

  /** Schedules a tick no later than the given time. */
  wakeAt(timeMs: number): void {
    this.scheduleTick(timeMs);
  }

  /** Runs one tick now and returns the earliest time at which a system requests the next one. */
  runTick(): number {
    const { state, systems, clock, random } = this.options;
    const now = clock.now;
    let wakeAt = Number.POSITIVE_INFINITY;
    const tick: Tick = {
      now,
      random,
      wakeAt: (timeMs) => {
        if (timeMs < wakeAt) wakeAt = timeMs;
      },
    };
    let slowestSystem = '';
    let slowestMs = 0;
    let startedAt = now;
    for (const system of systems) {
      this.runSystem(system, tick);
      const endedAt = clock.now;
      if (endedAt - startedAt > slowestMs) {
        slowestSystem = system.name;
        slowestMs = endedAt - startedAt;
      }
      startedAt = endedAt;
    }
    const arrivals = state.inbox.removeAll().length;
    for (const effect of state.outbox.removeAll()) this.handleEffect(effect);
    const durationMs = clock.now - now;
    this.options.recordTick?.({ durationMs, arrivals, slowestSystem, slowestMs });
    return wakeAt;
  }

  dispose(): void {
    this.isDisposed = true;
    this.pendingTimer?.dispose();
  }

  private runSystem(system: System<State>, tick: Tick): void {
    try {
      system.run(this.options.state, tick);
    } catch (error) {
      this.handleFailure({ source: 'system', name: system.name, error });
      tick.wakeAt(tick.now + FAILURE_RETRY_DELAY_MS);
    }
  }

  private handleEffect(effect: Effect): void {
    try {
      this.options.handleEffect(effect);
    } catch (error) {
      this.handleFailure({ source: 'effect', name: effect.kind, error });
    }
  }

  private handleFailure(failure: LoopFailure): void {
    if (this.options.handleFailure === undefined) throw failure.error;
    this.options.handleFailure(failure);
  }

  private scheduleTick(timeMs: number): void {
    if (this.timer === undefined || this.isDisposed || timeMs >= this.pendingTickAt) return;
    this.pendingTimer?.dispose();
    this.pendingTickAt = timeMs;
    const delayMs = Math.min(MAX_TIMER_DELAY_MS, Math.max(0, timeMs - this.options.clock.now));
    this.pendingTimer = this.timer.schedule(delayMs, () => {
      this.pendingTimer = undefined;
      this.pendingTickAt = Number.POSITIVE_INFINITY;
      this.scheduleTick(this.runTick());
    });
  }
}
