import { performance } from 'node:perf_hooks';
import { Clock } from '../common/clock.ts';
import type { Disposable } from '../common/disposable.ts';
import { Timer } from '../common/loop.ts';

/** The monotonic clock of the Node.js process. */
export class NodeClock extends Clock {
  private constructor() {
    super();
  }

  static create(): NodeClock {
    return new NodeClock();
  }

  override get now(): number {
    return performance.now();
  }
}

/** Returns wall-clock ms since 1970. They can step, so they are only compared with stored times. */
export function readWallClock(): number {
  return Date.now();
}

/** Timers of the Node.js event loop. A zero delay fires after pending I/O of the same iteration. */
export class NodeTimer extends Timer {
  private constructor() {
    super();
  }

  static create(): NodeTimer {
    return new NodeTimer();
  }

  override schedule(delayMs: number, callback: () => void): Disposable {
    if (delayMs <= 0) {
      const immediate = setImmediate(callback);
      return {
        dispose: () => {
          clearImmediate(immediate);
        },
      };
    }
    const timeout = setTimeout(callback, Math.ceil(delayMs));
    return {
      dispose: () => {
        clearTimeout(timeout);
      },
    };
  }
}
