/** Seeds that failed once, with the cause. `npm run soak -- --regressions` runs them again. */
export const REGRESSION_SEEDS: readonly { readonly seed: number; readonly cause: string }[] = [];
