import { loadJsonFile } from '../daemons/settings.ts';
import { tablesSchema } from '../model/configuration.ts';
import { JOB_PATH } from '../protocol/node/jobFront.ts';
import { formatJobId } from '../systems/jobs/jobId.ts';
import { LocalCluster } from './localCluster.ts';
import type { LoadSummary } from './localLoad.ts';
import { sendSampleLoad } from './localLoad.ts';
import type { JobSummary } from './localJobs.ts';
import { buildSampleJob, runSampleJobs } from './localJobs.ts';
import { CommandError, EXIT_FAILED, EXIT_INVALID, printJson, printLine } from './output.ts';

const RESULT_COLUMN_WIDTH = 24;

export interface LocalOptions {
  readonly tables: string;
  readonly requests: number;
  readonly jobs: number;
  readonly keep?: boolean;
  readonly json?: boolean;
}

interface RunSummary extends LoadSummary {
  readonly readyMs: number;
  readonly jobs: JobSummary;
}

function listJobLines(jobs: JobSummary): [string, string][] {
  return [
    ['jobs submitted', `${jobs.submitted} (${jobs.submissions} submissions, one key twice)`],
    ['jobs finished', `${jobs.finished}`],
    ['jobs cancelled', `${jobs.cancelled}`],
    ['jobs not ended', `${jobs.open}`],
    ['moved by zone change', `${jobs.movedByZoneChange} tasks`],
  ];
}

function printSummary(cluster: LocalCluster, summary: RunSummary): void {
  const zones = new Set(cluster.agents.map((agent) => agent.state.self.zone));
  const componentCounts = [
    `${cluster.entries.length} entries`,
    `${cluster.endpoints.length} endpoints`,
    `${cluster.workers.length} workers`,
    `${zones.size} zones`,
  ];
  const lines: [string, string][] = [
    ['parts', componentCounts.join(', ')],
    ['ready after', `${summary.readyMs.toFixed(0)} ms`],
    ['requests', `${summary.requests}`],
    ['answered', `${summary.answered}`],
    ...Object.entries(summary.refused).map(([reason, count]): [string, string] => [
      `refused ${reason}`,
      `${count}`,
    ]),
    ['latency p50', `${summary.p50Ms.toFixed(2)} ms`],
    ['latency p99', `${summary.p99Ms.toFixed(2)} ms`],
    ...listJobLines(summary.jobs),
  ];
  for (const [name, value] of lines) printLine(`${name.padEnd(RESULT_COLUMN_WIDTH)}${value}`);
}

function printExamples(cluster: LocalCluster): void {
  const entry = cluster.entries[0];
  if (entry === undefined) return;
  const operator = `http://127.0.0.1:${entry.operatorPort}`;
  const jobs = `http://127.0.0.1:${entry.callerPort}${JOB_PATH}`;
  const job = JSON.stringify(buildSampleJob('my-first-job'));
  const jobId = formatJobId('kr-south', 'guides', 'my-first-job');
  printLine('');
  printLine('running; try these in another terminal, and stop with Ctrl-C:');
  for (const line of [
    `curl http://127.0.0.1:${entry.callerPort}/kits/7`,
    `curl -d '${job}' ${jobs}`,
    `curl ${jobs}/${jobId}`,
    `curl ${operator}/v1/status`,
    `curl ${operator}/v1/explain/${jobId}`,
    `curl -X PUT ${operator}/v1/zones/busan-a/out`,
    `curl -X PUT ${operator}/v1/zones/busan-a/in`,
    `curl ${operator}/metrics`,
  ])
    printLine(`  ${line}`);
}

async function runSample(cluster: LocalCluster, options: LocalOptions): Promise<RunSummary> {
  const startMs = performance.now();
  await cluster.waitReady();
  const readyMs = performance.now() - startMs;
  const origins = cluster.entries.map((entry) => `http://127.0.0.1:${entry.callerPort}`);
  const [load, jobs] = await Promise.all([
    sendSampleLoad(origins, options.requests),
    runSampleJobs(cluster, options.jobs),
  ]);
  return { ...load, readyMs, jobs };
}

/** `local`: runs the whole system in this process, sends a sample load and prints a summary. */
export async function runLocal(options: LocalOptions): Promise<void> {
  const tables = loadJsonFile(options.tables, tablesSchema).caseOf({
    Left: (message) => {
      throw new CommandError(message, EXIT_INVALID);
    },
    Right: (value) => value,
  });
  const cluster = await LocalCluster.create(tables);
  const summary = await runSample(cluster, options);
  if (options.json === true) printJson(summary);
  else printSummary(cluster, summary);
  if (options.keep === true) {
    printExamples(cluster);
    return;
  }
  cluster.dispose();
  if (summary.answered < summary.requests || summary.jobs.open > 0)
    throw new CommandError(
      'the entries did not answer all requests, or some jobs did not end',
      EXIT_FAILED,
    );
}
