import { runHedgingBench } from './hedging.ts';
import { runOverloadBench } from './overload.ts';
import { formatBenchReport } from './report.ts';
import { runRoutingBench } from './routing.ts';

const BENCHES = { routing: runRoutingBench, overload: runOverloadBench, hedging: runHedgingBench };

const name = process.argv[2] as keyof typeof BENCHES;
console.log(formatBenchReport(BENCHES[name](Number(process.argv[3] ?? 1))));
