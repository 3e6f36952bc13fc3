import { SOAK_BOUNDS } from '../bounds.ts';
import type { SoakHistory } from '../history.ts';
import { PromiseCheck } from './promiseCheck.ts';

/** EVAC: an agent in touch starts nothing in a zone that is out of service for longer than the bound. */
export class EvacuationCheck extends PromiseCheck {
  readonly promise = 'EVAC';

  static create(): EvacuationCheck {
    return new EvacuationCheck();
  }

  override listBroken(history: SoakHistory): string[] {
    const broken: string[] = [];
    for (const run of history.runs.values()) {
      const worker = history.workers.get(run.worker);
      if (worker === undefined || run.isLate) continue;
      for (const { zone, ackedAt, backAt } of history.zonesOut.values()) {
        const isOut =
          zone === worker.zone &&
          run.startedAt > ackedAt + SOAK_BOUNDS.evacuationMs &&
          run.startedAt < (backAt ?? Infinity);
        if (isOut && history.isInTouch(worker.agent, run.startedAt))
          broken.push(`${run.task} run ${run.run} started in ${zone}, which is out of service`);
      }
    }
    return broken;
  }
}

/** DRAIN: an agent in touch starts nothing on its worker so long after it acknowledged that it drains. */
export class DrainCheck extends PromiseCheck {
  readonly promise = 'DRAIN';

  static create(): DrainCheck {
    return new DrainCheck();
  }

  override listBroken(history: SoakHistory): string[] {
    const broken: string[] = [];
    for (const run of history.runs.values()) {
      const worker = history.workers.get(run.worker);
      const since = worker?.drainingAckedAt;
      if (worker === undefined || since === undefined || run.isLate) continue;
      if (run.startedAt > since + SOAK_BOUNDS.drainMs)
        if (history.isInTouch(worker.agent, run.startedAt))
          broken.push(`${run.task} run ${run.run} started on ${worker.id}, which drains`);
    }
    return broken;
  }
}

/** ROUTE: a task starts only on a worker that has the label that its step requires. */
export class LabelCheck extends PromiseCheck {
  readonly promise = 'ROUTE';

  static create(): LabelCheck {
    return new LabelCheck();
  }

  override listBroken(history: SoakHistory): string[] {
    const broken: string[] = [];
    for (const run of history.runs.values()) {
      const label = history.jobs.get(run.job)?.steps[run.step]?.requiredLabel ?? '';
      const labels = history.workers.get(run.worker)?.labels ?? [];
      if (label !== '' && !labels.includes(label))
        broken.push(`${run.task} run ${run.run} started on ${run.worker} without ${label}`);
    }
    return broken;
  }
}
