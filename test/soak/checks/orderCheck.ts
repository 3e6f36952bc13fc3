import type { SoakHistory } from '../history.ts';
import { PromiseCheck } from './promiseCheck.ts';

/** ORDER: no task starts before all tasks of the steps that its step follows have ended `done`. */
export class OrderCheck extends PromiseCheck {
  readonly promise = 'ORDER';

  static create(): OrderCheck {
    return new OrderCheck();
  }

  override listBroken(history: SoakHistory): string[] {
    const firstDone = new Map<string, number>();
    for (const { task, how, endedAt } of history.runs.values())
      if (how === 'done' && endedAt !== undefined)
        firstDone.set(task, Math.min(endedAt, firstDone.get(task) ?? Infinity));
    const broken: string[] = [];
    for (const run of history.runs.values()) {
      const job = history.jobs.get(run.job);
      for (const before of job?.steps[run.step]?.after ?? []) {
        const count = job?.steps[before]?.count ?? 0;
        for (let index = 0; index < count; index += 1) {
          const task = `${run.job}.0.${before}.${index}`;
          if ((firstDone.get(task) ?? Infinity) > run.startedAt)
            broken.push(`${run.task} run ${run.run} started before ${task} was done`);
        }
      }
    }
    return broken;
  }
}
