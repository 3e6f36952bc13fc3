import { execFile } from 'node:child_process';
import { promisify } from 'node:util';
import { createEntryState } from '../src/model/entryState.ts';
import { formatRunId } from '../src/model/run.ts';
import { EntryLoad } from './entryLoad.ts';
import { buildTask, REGION } from './entryLoadRows.ts';

const TASKS_PER_WORKER = 17;
const BYTES_PER_MB = 1_048_576;

/** Heap in use and resident size of an entry's process in MB. */
export interface EntryMemory {
  readonly heapMb: number;
  readonly residentMb: number;
}

/** Measures in a child process of the bench, which can collect garbage before it reads its heap. */
export async function measureEntryMemory(
  kind: 'tasks' | 'endpoints',
  count: number,
): Promise<EntryMemory> {
  const bundle = process.argv[1] ?? '';
  const args = ['--expose-gc', bundle, 'entry-memory', kind, String(count)];
  const { stdout } = await promisify(execFile)(process.execPath, args);
  return JSON.parse(stdout) as EntryMemory;
}

/** Builds the state of an entry in this process and prints its memory as JSON. */
export function printEntryMemory(kind: string, count: number): void {
  const state = kind === 'tasks' ? createTaskState(count) : createEndpointState(count);
  if (globalThis.gc === undefined) throw new Error('started without --expose-gc');
  globalThis.gc();
  const { heapUsed, rss } = process.memoryUsage();
  const memory: EntryMemory = { heapMb: heapUsed / BYTES_PER_MB, residentMb: rss / BYTES_PER_MB };
  // The state is read after the collection, so it cannot have been collected.
  if (state() !== count) throw new Error(`${state()} of ${count} rows`);
  process.stdout.write(`${JSON.stringify(memory)}\n`);
}

function createTaskState(count: number): () => number {
  const info = { id: 'entry-0', region: REGION, zone: 'busan-a', address: '10.0.0.1:7103' };
  const state = createEntryState(info, 'boot-0');
  for (let index = 0; index < count; index += 1) {
    const worker = Math.floor(index / TASKS_PER_WORKER);
    const task = buildTask(worker, index % TASKS_PER_WORKER);
    state.tasks.set(task);
    state.runs.set({
      ...{ id: formatRunId(task.id, 1), taskId: task.id, incarnation: 1, throttle: 1 },
      ...{ workerId: `worker-${worker}`, phase: 'running', checkpoint: undefined },
      ...{ leaseUntilMs: 16_150.5, sinceMs: 1_000.5 },
    });
  }
  return () => state.tasks.size;
}

function createEndpointState(count: number): () => number {
  const load = EntryLoad.create({
    ...{ seed: 1, agents: 0, peerEndpoints: count, workers: 0, tasksPerWorker: 0 },
  });
  return () => load.state.endpoints.size;
}
