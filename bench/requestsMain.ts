import { runOverloadBench } from './overload.ts';
import { formatBenchReport } from './report.ts';
import { runRoutingBench } from './routing.ts';

const seed = Number(process.argv[3] ?? 1);
const run = process.argv[2] === 'overload' ? runOverloadBench : runRoutingBench;
console.log(formatBenchReport(run(seed)));
