import { describe, expect, it } from 'vitest';
import { RandomLosses } from '../../support/randomLosses.ts';

/** Seeds of one run; more by hand with `LOSS_SEEDS=500 LOSS_FIRST=1000`. */
const SEEDS = Number(process.env.LOSS_SEEDS ?? 40);
const FIRST_SEED = Number(process.env.LOSS_FIRST ?? 1);

describe('long-running tasks under random losses', () => {
  const seeds = Array.from({ length: SEEDS }, (_, index) => FIRST_SEED + index);

  it.each(seeds)('do not run twice or stay without a run, seed %i', (seed) => {
    const losses = RandomLosses.create(seed);
    expect({ twice: losses.runFaults(), actions: losses.actions }).toMatchObject({ twice: [] });
    expect({ idle: losses.listIdleTasks(), actions: losses.actions }).toMatchObject({ idle: [] });
  });
});
