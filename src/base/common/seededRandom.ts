import { uniformInt } from 'pure-rand/distribution/uniformInt';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';

const UNIT_STEPS = 0x7fffffff;

/** Random numbers from a seed, so that a run is reproducible. */
export class SeededRandom {
  private constructor(private readonly generator: ReturnType<typeof xoroshiro128plus>) {}

  static create(seed: number): SeededRandom {
    return new SeededRandom(xoroshiro128plus(seed));
  }

  /** A number in [0, 1). */
  takeUnit(): number {
    return uniformInt(this.generator, 0, UNIT_STEPS - 1) / UNIT_STEPS;
  }

  /** An integer in [low, high], both included. */
  takeInt(low: number, high: number): number {
    return uniformInt(this.generator, low, high);
  }

  /** An identifier of 128 random bits in hexadecimal. */
  takeId(): string {
    let id = '';
    for (let word = 0; word < 4; word += 1) {
      id += (this.takeInt(-0x80000000, 0x7fffffff) >>> 0).toString(16).padStart(8, '0');
    }
    return id;
  }

  /** An exponentially distributed number with the given mean. */
  takeExponential(mean: number): number {
    return -Math.log(1 - this.takeUnit()) * mean;
  }
}
