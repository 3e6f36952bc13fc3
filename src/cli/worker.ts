import { LogWriter } from '../base/node/logWriter.ts';
import { NodeClock, NodeTimer } from '../base/node/nodeClock.ts';
import { MemoryWorker } from '../standins/memoryWorker.ts';
import { WorkerServer } from '../standins/workerServer.ts';
import { runUntilStopped } from './runDaemon.ts';

const DEFAULT_TASK_DURATION_MS = 1_000;

export interface WorkerOptions {
  readonly name: string;
  readonly rack: string;
  readonly host: string;
  readonly port: number;
  readonly cores: number;
  readonly memoryMb: number;
  readonly accelerators: number;
}

/** Parses a task's run time in ms: the first word of its command if it is a number, else 1 s. */
export function parseTaskDuration(_taskKind: string, command: readonly string[]): number {
  const workMs = Number(command[0] ?? DEFAULT_TASK_DURATION_MS);
  return Number.isFinite(workMs) && workMs >= 0 ? workMs : DEFAULT_TASK_DURATION_MS;
}

/**
 * `worker`: runs the stand-in of the platform's worker interface. The settings of an agent name its
 * address.
 */
export async function runWorker(options: WorkerOptions): Promise<void> {
  const { name, rack, host, port, cores, memoryMb, accelerators } = options;
  const worker = MemoryWorker.create({
    id: name,
    rack,
    capacity: { cores, memoryMb, accelerators },
    clock: NodeClock.create(),
    computeWorkMs: parseTaskDuration,
  });
  const server = await WorkerServer.create({ host, port, worker, timer: NodeTimer.create() });
  LogWriter.create().write('info', 'worker_started', { name, origin: server.origin });
  let resolveStopped: () => void = () => undefined;
  const stopped = new Promise<void>((resolve) => {
    resolveStopped = resolve;
  });
  await runUntilStopped({
    stopped,
    stop: () => {
      resolveStopped();
    },
    dispose: () => {
      server.dispose();
    },
  });
}
