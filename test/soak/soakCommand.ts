// Entry point of the long soak: `npm run soak -- --seeds N --first SEED [--seconds S] [--agents N] [--entries N]`.
import { rmSync } from 'node:fs';
import { join } from 'node:path';
import { cac } from 'cac';
import { buildPrograms, CACHE_FOLDER } from '../support/platformProgram.ts';
import { REGRESSION_SEEDS } from './regressionSeeds.ts';
import type { SoakResult } from './soakRun.ts';
import { SoakRun } from './soakRun.ts';

const LOGS = 'soak-logs';
/** Its own, so that a build for the tests does not change the programs of a long soak. */
const OWN_BUNDLES = `${CACHE_FOLDER}/soak/programs-${process.pid}`;

const cli = cac('soak');
cli
  .option('--seeds <number>', 'seeds to run', { default: 10 })
  .option('--first <seed>', 'first seed', { default: 1 })
  .option('--seconds <seconds>', 'time in which faults begin', { default: 15 })
  .option('--agents <number>', 'agents, each with a worker', { default: 9 })
  .option('--bundles <folder>', 'programs of another build')
  .option('--entries <number>', 'entries', { default: 3 })
  .option('--keep', 'keep the logs of seeds that pass too')
  .option('--regressions', 'run the seeds that failed once')
  .help();
const { options } = cli.parse();

function formatResult(result: SoakResult): string {
  const { seed, broken, jobs, accepted, runs, faults, seconds, lagMs } = result;
  const verdict = broken.length === 0 ? 'pass' : 'FAIL';
  return `seed=${seed} result=${verdict} jobs=${jobs} accepted=${accepted} runs=${runs} faults=${faults} seconds=${seconds} lagMs=${lagMs}`;
}

async function runSeed(seed: number): Promise<boolean> {
  const folder = join(LOGS, `seed-${seed}-${Date.now()}`);
  const run = SoakRun.create({
    seed,
    seconds: Number(options.seconds),
    entries: Number(options.entries),
    agents: Number(options.agents),
    folder,
    bundles: String(options.bundles ?? OWN_BUNDLES),
  });
  const result = await run.run();
  process.stdout.write(`${formatResult(result)}\n`);
  for (const line of result.broken) process.stdout.write(`  broken: ${line}\n`);
  const isPassed = result.broken.length === 0;
  if (isPassed && options.keep !== true) rmSync(folder, { recursive: true, force: true });
  else process.stdout.write(`  logs: ${folder}\n`);
  return isPassed;
}

if (options.help !== true) {
  buildPrograms(OWN_BUNDLES);
  const first = Number(options.first);
  const seeds =
    options.regressions === true
      ? REGRESSION_SEEDS.map(({ seed }) => seed)
      : Array.from({ length: Number(options.seeds) }, (_, index) => first + index);
  let failed = 0;
  for (const seed of seeds) if (!(await runSeed(seed))) failed += 1;
  process.stdout.write(`${seeds.length - failed} passed, ${failed} failed\n`);
  rmSync(OWN_BUNDLES, { recursive: true, force: true });
  process.exit(failed === 0 ? 0 : 1);
}
