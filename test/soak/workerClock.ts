import { Clock } from '../../src/base/common/clock.ts';
import type { SeededRandom } from '../../src/base/common/seededRandom.ts';

/** A clock of a worker; the platform's may be 2 % slow. */
export class WorkerClock extends Clock {
  private constructor(
    private readonly offsetMs: number,
    private readonly rate: number,
  ) {
    super();
  }

  static create(random: SeededRandom): WorkerClock {
    return new WorkerClock(random.takeInt(0, 1_000_000), 1 - 0.02 * random.takeUnit());
  }

  override get now(): number {
    return this.offsetMs + performance.now() * this.rate;
  }
}
