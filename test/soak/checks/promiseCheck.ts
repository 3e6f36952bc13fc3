import type { SoakHistory } from '../history.ts';

/** One promise. It reads the history and changes nothing, so it can run at any moment. */
export abstract class PromiseCheck {
  /** Name of the promise in docs/soak.md. */
  abstract readonly promise: string;

  /** One text for each place where the history breaks the promise; the same place gives the same text. */
  abstract listBroken(history: SoakHistory): string[];
}
