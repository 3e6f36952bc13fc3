import { SOAK_BOUNDS } from '../bounds.ts';
import type { SoakHistory } from '../history.ts';
import { isEndNoted } from '../history.ts';
import { hasFailed, listTasks } from '../jobTasks.ts';
import type { JobRow, RunRow, SoakStep, WorkerRow } from '../rows.ts';
import { PromiseCheck } from './promiseCheck.ts';

/** So many tasks of its size have to fit on sound workers. */
const NEEDED_PLACES = 2;

interface Span {
  readonly from: number;
  readonly to: number;
}

/**
 * LOST: a lasting task whose turn has come starts again soon after its last run, if nothing was disturbed
 * in that time and before it, and there was capacity for it twice over.
 */
export class LastingTaskCheck extends PromiseCheck {
  readonly promise = 'LOST';

  static create(): LastingTaskCheck {
    return new LastingTaskCheck();
  }

  override listBroken(history: SoakHistory): string[] {
    const runs = history.listRunsByTask();
    const broken: string[] = [];
    for (const job of history.jobs.values())
      for (const [index, step] of job.steps.entries()) {
        if (!step.isLongRunning || hasFailed(job, runs)) continue;
        const turnAt = findTurn(history, job, step, runs);
        if (turnAt === undefined) continue;
        const until = Math.min(history.now, job.cancelSentAt ?? Infinity);
        for (const task of listTasks(job, (other) => other === job.steps[index]))
          for (const idle of listIdleSpans(runs.get(task) ?? [], turnAt, until)) {
            const at = findBrokenAt(history, step, idle);
            if (at !== undefined)
              broken.push(`${task} lasts and had no run from ${Math.round(idle.from)} to ${at}`);
          }
      }
    return broken;
  }
}

/** When all steps before it were done and that was acknowledged; undefined before that. */
function findTurn(
  history: SoakHistory,
  job: JobRow,
  { after }: SoakStep,
  runs: ReadonlyMap<string, readonly RunRow[]>,
): number | undefined {
  let turnAt = job.acceptedAt;
  for (const task of listTasks(job, (step) => after.some((before) => job.steps[before] === step))) {
    const done = runs.get(task)?.find((run) => run.how === 'done' && isEndNoted(history, run));
    if (done?.notedAt === undefined || turnAt === undefined) return undefined;
    turnAt = Math.max(turnAt, done.notedAt);
  }
  return turnAt;
}

/** Spans in which no run of a task was at work. */
function listIdleSpans(runs: readonly RunRow[], turnAt: number, until: number): Span[] {
  const spans: Span[] = [];
  let from = turnAt;
  for (const { startedAt, endedAt } of runs) {
    if (startedAt > from) spans.push({ from, to: Math.min(startedAt, until) });
    from = Math.max(from, endedAt ?? Infinity);
  }
  spans.push({ from, to: until });
  return spans;
}

/** The first moment at which an idle task was owed a run for longer than the bound. */
function findBrokenAt(history: SoakHistory, step: SoakStep, idle: Span): number | undefined {
  const owed = { from: idle.from + SOAK_BOUNDS.lastingAfterRunMs, to: idle.to };
  const disturbed = listDisturbed(history);
  // Capacity takes long to compute, and most of the idle spans are too short without it.
  if (findLongGap(owed, disturbed) === undefined) return undefined;
  const from = findLongGap(owed, [...disturbed, ...listFull(history, step, owed)]);
  return from === undefined ? undefined : Math.round(from + SOAK_BOUNDS.idleMs);
}

/** Where the first gap between the spans begins that is longer than a task may be idle. */
function findLongGap({ from, to }: Span, spans: readonly Span[]): number | undefined {
  let free = from;
  for (const span of [...spans].sort((left, right) => left.from - right.from)) {
    if (Math.min(span.from, to) - free > SOAK_BOUNDS.idleMs) return free;
    free = Math.max(free, span.to);
  }
  return to - free > SOAK_BOUNDS.idleMs ? free : undefined;
}

/** Time that a disturbance takes away from the calm after its end. */
const AFTERMATH_MS = SOAK_BOUNDS.contactMs + SOAK_BOUNDS.calmBeforeMs;

/** Spans in which something that placements depend on was disturbed, or had been a short time before. */
function listDisturbed(history: SoakHistory): Span[] {
  const spans: { readonly from: number; readonly to?: number | undefined }[] = [
    ...history.disruptions.values(),
    ...history.workerTroubles.values(),
  ];
  for (const { ackedAt } of history.zonesOut.values()) spans.push({ from: ackedAt, to: ackedAt });
  for (const { downAt } of history.workers.values())
    if (downAt !== undefined) spans.push({ from: downAt, to: downAt });
  return spans.map(({ from, to = Infinity }) => ({ from, to: to + AFTERMATH_MS }));
}

/** Spans in which the sound workers had not enough capacity left for the task. */
function listFull(history: SoakHistory, step: SoakStep, { from, to }: Span): Span[] {
  const moments = [from];
  const runs = new Map<string, RunRow[]>();
  for (const run of history.runs.values()) {
    const { worker, startedAt, endedAt = to } = run;
    if (startedAt >= to || endedAt < from) continue;
    moments.push(startedAt, endedAt);
    const known = runs.get(worker);
    if (known === undefined) runs.set(worker, [run]);
    else known.push(run);
  }
  for (const { upAt, drainingAckedAt = to, downAt = to } of history.workers.values())
    moments.push(upAt + AFTERMATH_MS, drainingAckedAt, downAt);
  for (const { ackedAt, backAt = to } of history.zonesOut.values())
    moments.push(ackedAt, backAt + AFTERMATH_MS);
  const within = moments.filter((moment) => moment >= from && moment < to);
  within.sort((left, right) => left - right);
  return within.flatMap((moment, index) =>
    !hasPlaces(history, step, runs, moment) ? [{ from: moment, to: within[index + 1] ?? to }] : [],
  );
}

/** Whether enough tasks of the step fit on the sound workers at a moment. */
function hasPlaces(
  history: SoakHistory,
  { cpuMillis, memoryMb, requiredLabel }: SoakStep,
  runs: ReadonlyMap<string, readonly RunRow[]>,
  at: number,
): boolean {
  let places = 0;
  for (const worker of history.workers.values()) {
    if (!isSound(history, worker, at)) continue;
    if (requiredLabel !== '' && !worker.labels.includes(requiredLabel)) continue;
    let freeCpuMillis = worker.cpuMillis;
    let freeMemoryMb = worker.memoryMb;
    for (const { startedAt, endedAt = Infinity, job, step } of runs.get(worker.id) ?? []) {
      if (startedAt > at || endedAt <= at) continue;
      freeCpuMillis -= history.jobs.get(job)?.steps[step]?.cpuMillis ?? 0;
      freeMemoryMb -= history.jobs.get(job)?.steps[step]?.memoryMb ?? 0;
    }
    const fitting = Math.min(freeCpuMillis / cpuMillis, freeMemoryMb / memoryMb);
    places += Math.max(0, Math.floor(fitting));
    if (places >= NEEDED_PLACES) return true;
  }
  return false;
}

/** Whether a worker was up for long enough, did not drain, and its zone was in service for as long. */
function isSound(history: SoakHistory, worker: WorkerRow, at: number): boolean {
  if (at < worker.upAt + AFTERMATH_MS || at >= (worker.downAt ?? Infinity)) return false;
  if (at >= (worker.drainingAckedAt ?? Infinity)) return false;
  for (const { zone, ackedAt, backAt = Infinity } of history.zonesOut.values())
    if (zone === worker.zone && ackedAt <= at && at < backAt + AFTERMATH_MS) return false;
  return true;
}
