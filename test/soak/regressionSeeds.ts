/** Seeds that failed once, with the cause. `npm run soak -- --regressions` runs them again. */
export const REGRESSION_SEEDS: readonly { readonly seed: number; readonly cause: string }[] = [
  {
    seed: 103,
    cause:
      'an owner whose orders were lost on a link that still carried reports never learnt of it',
  },
];
