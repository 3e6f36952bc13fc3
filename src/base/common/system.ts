import type { SeededRandom } from './seededRandom.ts';

/** The context of a system in the current tick of the loop. */
export interface Tick {
  /** Monotonic time in milliseconds, the same for all systems of a tick. */
  readonly now: number;
  readonly random: SeededRandom;
  /** Requests another tick no later than the given time. */
  wakeAt(timeMs: number): void;
}

/**
 * A unit of logic that the loop runs once per tick. It reads and writes tables and appends effects;
 * it does no I/O and keeps no state outside the tables.
 */
// The parameter binds a system to the type of its state, although it is used only once here.
// eslint-disable-next-line @typescript-eslint/no-unnecessary-type-parameters
export abstract class System<State> {
  abstract readonly name: string;
  abstract run(state: State, tick: Tick): void;
}
