/** Seeds that failed once, with the cause. `npm run soak -- --regressions` runs them again. */
export const REGRESSION_SEEDS: readonly { readonly seed: number; readonly cause: string }[] = [
  {
    seed: 103,
    cause:
      'an owner whose orders were lost on a link that still carried reports never learnt of it',
  },
  { seed: 105, cause: 'SIGHUP ended a process that had not yet begun to handle it' },
  { seed: 115, cause: 'SIGHUP ended a process that had not yet begun to handle it' },
  { seed: 125, cause: 'SIGHUP ended a process that had not yet begun to handle it' },
  { seed: 126, cause: 'open: accepted jobs did not end in time on an overloaded machine' },
  { seed: 127, cause: 'open: as 126' },
  { seed: 147, cause: 'open: as 126' },
  { seed: 148, cause: 'open: as 126' },
  {
    seed: 20_000,
    cause: 'lasting tasks of a lost worker ran again too late after the loss of owners (0013)',
  },
  { seed: 20_007, cause: 'as 20000' },
  { seed: 20_009, cause: 'as 20000' },
  { seed: 20_012, cause: 'as 20000' },
  { seed: 20_014, cause: 'as 20000' },
  { seed: 20_600, cause: 'as 20000' },
  {
    seed: 21_020,
    cause: 'lasting tasks of a lost instance waited for 15 s after all entries were lost (0015)',
  },
];
