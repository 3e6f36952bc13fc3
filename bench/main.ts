import { cac } from 'cac';
import { runCapacityBench } from './capacity.ts';
import { printEntryMemory } from './entryMemory.ts';
import { runConfigurationBench } from './configuration.ts';
import { isMainThread } from 'node:worker_threads';
import { runInterferenceBench } from './interference.ts';
import { runLedgerBench } from './ledger.ts';
import { runPlacementBench } from './placement.ts';
import { runZoneChangeBench } from './zoneChange.ts';
import { runHedgingBench } from './hedging.ts';
import { runOverloadBench } from './overload.ts';
import { runRoutingBench } from './routing.ts';
import { runOverheadBench } from './overhead.ts';
import type { BenchReport } from './report.ts';
import { formatReport } from './report.ts';

/** Every bench by name; a new one is one more line. */
const BENCHES: Readonly<Record<string, (seed: number) => BenchReport | Promise<BenchReport>>> = {
  configuration: runConfigurationBench,
  overhead: runOverheadBench,
  routing: runRoutingBench,
  overload: runOverloadBench,
  hedging: runHedgingBench,
  placement: runPlacementBench,
  interference: runInterferenceBench,
  'zone-change': runZoneChangeBench,
  ledger: runLedgerBench,
  capacity: runCapacityBench,
};

const DEFAULT_SEED = 1;
const EXIT_MISSED = 1;
const EXIT_INVALID = 2;

async function runBenches(
  name: string | undefined,
  options: { seed: number; json?: boolean },
): Promise<number> {
  const names = name === undefined ? Object.keys(BENCHES) : [name];
  let exitCode = 0;
  for (const benchName of names) {
    const run = BENCHES[benchName];
    if (run === undefined) {
      process.stderr.write(`no bench ${benchName}; known: ${Object.keys(BENCHES).join(', ')}\n`);
      return EXIT_INVALID;
    }
    const report = await run(options.seed);
    process.stdout.write(
      `${options.json === true ? JSON.stringify(report) : formatReport(report)}\n`,
    );
    if (report.rows.some((row) => !row.isMet)) exitCode = EXIT_MISSED;
  }
  return exitCode;
}

const cli = cac('bench');
cli
  .command('[name]', 'Run one bench, or all of them')
  .option('--seed <n>', 'Seed of the random numbers', { default: DEFAULT_SEED })
  .option('--json', 'Print one JSON report a line')
  .action(async (name: string | undefined, options: { seed: number; json?: boolean }) => {
    process.exit(await runBenches(name, options));
  });
cli
  .command(
    'entry-memory <kind> <count>',
    'Print the heap of an entry; started by the capacity bench',
  )
  .action((kind: string, count: string) => {
    printEntryMemory(kind, Number(count));
  });
cli.help();
// Benches start this bundle again as worker threads, which must not run the command line.
if (isMainThread) cli.parse();
