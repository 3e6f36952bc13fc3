import type { z } from 'zod/mini';
import { Table } from '../../src/base/common/table.ts';
import { SOAK_BOUNDS } from './bounds.ts';
import type {
  brokenCallRowSchema,
  configurationRowSchema,
  exitRowSchema,
  JobRow,
  ProbeRow,
  RunRow,
  WorkerRow,
  workerTroubleRowSchema,
  zoneOutRowSchema,
  DisruptionRow,
} from './rows.ts';

/** Disruptions of this process act on everything that calls the store. */
export const STORE = 'store';

/** What callers, workers and operators of one soak have seen so far. */
export class SoakHistory {
  readonly jobs = Table.create<JobRow>('jobs');
  readonly runs = Table.create<RunRow>('runs');
  readonly workers = Table.create<WorkerRow>('workers');
  readonly zonesOut = Table.create<z.infer<typeof zoneOutRowSchema>>('zonesOut');
  readonly configurations = Table.create<z.infer<typeof configurationRowSchema>>('configurations');
  readonly probes = Table.create<ProbeRow>('probes');
  readonly brokenCalls = Table.create<z.infer<typeof brokenCallRowSchema>>('brokenCalls');
  readonly disruptions = Table.create<DisruptionRow>('disruptions');
  readonly workerTroubles = Table.create<z.infer<typeof workerTroubleRowSchema>>('workerTroubles');
  readonly exits = Table.create<z.infer<typeof exitRowSchema>>('exits');
  /** When the last fault was over; undefined while faults come. */
  calmSince: number | undefined;
  /** Up to when the history reaches. */
  now = 0;
  private lastId = 0;

  private constructor() {
    // Built by create().
  }

  static create(): SoakHistory {
    return new SoakHistory();
  }

  takeId(): string {
    this.lastId += 1;
    return String(this.lastId);
  }

  /** Whether neither the process nor the store was disrupted from `contactMs` before a moment until another. */
  isInTouch(process: string, from: number, to = from): boolean {
    return !this.hasDisruption([process, STORE], from - SOAK_BOUNDS.contactMs, to);
  }

  hasDisruption(processes: readonly string[], from: number, to: number): boolean {
    for (const row of this.disruptions.values())
      if (processes.includes(row.process) && row.from <= to && (row.to ?? Infinity) >= from)
        return true;
    return false;
  }

  /** Whether anything but planned work disturbed any process in a span. */
  isCalm(from: number, to: number): boolean {
    for (const row of this.disruptions.values())
      if (!row.isPlanned && row.from <= to && (row.to ?? Infinity) >= from - SOAK_BOUNDS.contactMs)
        return false;
    return true;
  }

  /** Runs by task, in the order of their starts. */
  listRunsByTask(): Map<string, RunRow[]> {
    const runs = new Map<string, RunRow[]>();
    for (const run of this.runs.values()) {
      const known = runs.get(run.task);
      if (known === undefined) runs.set(run.task, [run]);
      else known.push(run);
    }
    return runs;
  }
}

/**
 * Whether the end of a run was acknowledged to its worker, without a lapse of the worker's lease between
 * the end and the acknowledgement.
 */
export function isEndNoted(history: SoakHistory, run: RunRow): boolean {
  const { endedAt, notedAt } = run;
  if (endedAt === undefined || notedAt === undefined) return false;
  const lapses = history.workers.get(run.worker)?.lapses ?? [];
  return !lapses.some((lapse) => lapse >= endedAt && lapse <= notedAt);
}
