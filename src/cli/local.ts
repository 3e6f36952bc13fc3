import { loadJsonFile } from '../daemons/settings.ts';
import { tablesSchema } from '../model/configuration.ts';
import { LocalCluster } from './localMode.ts';
import type { LoadSummary } from './localLoad.ts';
import { sendSampleLoad } from './localLoad.ts';
import { CommandError, EXIT_FAILED, EXIT_INVALID, printJson, printLine } from './output.ts';

const RESULT_COLUMN = 24;

function printSummary(cluster: LocalCluster, summary: LoadSummary, startMs: number): void {
  const zones = new Set(cluster.agents.map((agent) => agent.state.self.zone));
  const lines: [string, string][] = [
    [
      'parts',
      `${cluster.entries.length} entries, ${cluster.agents.length} agents, ${zones.size} zones`,
    ],
    ['ready after', `${startMs.toFixed(0)} ms`],
    ['requests', `${summary.requests}`],
    ['answered', `${summary.answered}`],
    ...Object.entries(summary.refused).map(([reason, count]): [string, string] => [
      `refused ${reason}`,
      `${count}`,
    ]),
    ['latency p50', `${summary.p50Ms.toFixed(2)} ms`],
    ['latency p99', `${summary.p99Ms.toFixed(2)} ms`],
    // Local mode starts workers and jobs when the job path is present.
    ['jobs', 'not started: no worker in local mode yet'],
  ];
  for (const [name, value] of lines) printLine(`${name.padEnd(RESULT_COLUMN)}${value}`);
}

function printExamples(cluster: LocalCluster): void {
  const entry = cluster.entries[0];
  if (entry === undefined) return;
  const operator = `http://127.0.0.1:${entry.operatorPort}`;
  printLine('');
  printLine('running; try these in another terminal, and stop with Ctrl-C:');
  printLine(`  curl http://127.0.0.1:${entry.callerPort}/kits/7`);
  printLine(`  curl ${operator}/metrics`);
  printLine(`  node dist/bramleyladder.js status --operator ${operator}`);
  printLine(`  node dist/bramleyladder.js zone out busan-a --operator ${operator}`);
}

/** `local`: starts everything in this process, sends a sample load and prints a summary. */
export async function runLocal(options: {
  tables: string;
  requests: number;
  keep?: boolean;
  json?: boolean;
}): Promise<void> {
  const tables = loadJsonFile(options.tables, tablesSchema).caseOf({
    Left: (message) => {
      throw new CommandError(message, EXIT_INVALID);
    },
    Right: (value) => value,
  });
  const startMs = performance.now();
  const cluster = await LocalCluster.create(tables);
  await cluster.waitReady();
  const readyMs = performance.now() - startMs;
  const summary = await sendSampleLoad(
    cluster.entries.map((entry) => `http://127.0.0.1:${entry.callerPort}`),
    options.requests,
  );
  if (options.json === true) printJson({ ...summary, readyMs });
  else printSummary(cluster, summary, readyMs);
  if (options.keep === true) {
    printExamples(cluster);
    return;
  }
  cluster.dispose();
  if (summary.answered < summary.requests)
    throw new CommandError('some requests were not answered', EXIT_FAILED);
}
