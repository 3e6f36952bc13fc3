import type { SoakHistory } from '../history.ts';
import type { RunRow } from '../rows.ts';
import { PromiseCheck } from './promiseCheck.ts';

/** LIMIT: no start brings a worker over its capacity; what is being stopped still counts. */
export class CapacityCheck extends PromiseCheck {
  readonly promise = 'LIMIT';

  static create(): CapacityCheck {
    return new CapacityCheck();
  }

  override listBroken(history: SoakHistory): string[] {
    const runs = new Map<string, RunRow[]>();
    for (const run of history.runs.values())
      runs.set(run.worker, [...(runs.get(run.worker) ?? []), run]);
    const broken: string[] = [];
    for (const [id, started] of runs) {
      const worker = history.workers.get(id);
      if (worker === undefined) continue;
      for (const run of started) {
        let cpuMillis = 0;
        let memoryMb = 0;
        for (const other of started) {
          if (other.startedAt > run.startedAt || (other.endedAt ?? Infinity) <= run.startedAt)
            continue;
          const step = history.jobs.get(other.job)?.steps[other.step];
          cpuMillis += step?.cpuMillis ?? 0;
          memoryMb += step?.memoryMb ?? 0;
        }
        if (cpuMillis > worker.cpuMillis || memoryMb > worker.memoryMb)
          broken.push(
            `${run.task} run ${run.run} brought ${id} to ${cpuMillis} and ${memoryMb} MB`,
          );
      }
    }
    return broken;
  }
}
