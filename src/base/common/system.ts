import type { SeededRandom } from './seededRandom.ts';

/** What a system may know about the current turn of the loop. */
export interface Tick {
  /** Monotonic milliseconds, the same for all systems of a turn. */
  readonly now: number;
  readonly random: SeededRandom;
  /** Asks for another turn at the given time at the latest. */
  wakeAt(timeMs: number): void;
}

/**
 * One concern of a process. A system reads and writes tables and appends effects; it does no I/O
 * and keeps no state outside the tables.
 */
// The parameter ties a system to the state that it runs over, although it is used once here.
// eslint-disable-next-line @typescript-eslint/no-unnecessary-type-parameters
export abstract class System<State> {
  abstract readonly name: string;
  abstract run(state: State, tick: Tick): void;
}
